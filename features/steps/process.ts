import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";

const waitMs = 30_000;

/** Path of a compiled script of the stand-ins. */
export function standInScript(name: string): string {
    return fileURLToPath(new URL(`../../packages/standins/dist/${name}`, import.meta.url));
}

/** A running stand-in process. */
export class StandInProcess {
    readonly child: ChildProcess;
    address = "";

    constructor(words: readonly string[]) {
        this.child = spawn(process.execPath, [standInScript("main.js"), ...words], { stdio: ["ignore", "pipe", "inherit"] });
    }

    get url(): string {
        return `http://${this.address}`;
    }

    /** Exit code, or the signal that ended the process. */
    async exit(): Promise<number | string | null> {
        if (this.child.exitCode === null && this.child.signalCode === null) {
            await once(this.child, "exit");
        }
        return this.child.exitCode ?? this.child.signalCode;
    }

    async start(): Promise<void> {
        for await (const line of createInterface({ input: this.child.stdout! })) {
            this.address = (JSON.parse(line) as { listening: string; }).listening;
            return;
        }
        throw new Error("The stand-in ended before it listened.");
    }

    /** Calls a path below `/control`. */
    async control(path: string, body?: unknown): Promise<Record<string, unknown>> {
        const response = await request(`${this.url}/control${path}`, {
            method: body === undefined ? "GET" : "POST",
            body: body === undefined ? null : JSON.stringify(body),
        });
        const answer = await response.body.json() as Record<string, unknown>;
        if (response.statusCode >= 300) {
            throw new Error(`'${path}' was answered with ${response.statusCode}: ${JSON.stringify(answer)}`);
        }
        return answer;
    }
}

/** Starts a stand-in and waits until it listens. */
export async function startStandIn(words: readonly string[]): Promise<StandInProcess> {
    const standIn = new StandInProcess(words);
    await standIn.start();
    return standIn;
}

/** Waits for a condition; the limit only keeps a failing test from hanging. */
export async function waitUntil(what: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const endMs = performance.now() + waitMs;
    while (!await condition()) {
        if (performance.now() > endMs) {
            throw new Error(`Waited ${waitMs} ms in vain for ${what}.`);
        }
        await sleep(10);
    }
}
