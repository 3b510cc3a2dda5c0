import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { setTimeout as delay } from "node:timers/promises";

/** How a process of a fleet is started. */
export interface ProcessOptions {
    /** Names the process in messages. */
    readonly name: string;
    /** Script and arguments for the running Node.js binary. */
    readonly command: readonly string[];
    /** Receives standard error. */
    readonly logFile: string;
}

const running = new Set<ChildProcess>();

// A fleet must never outlive its launcher, even when that ends by an exception.
process.on("exit", () => running.forEach(child => child.kill("SIGKILL")));

let handlesSignals = false;

// The default action of a signal ends the launcher without the exit event.
function exitOnSignals(): void {
    if (!handlesSignals) {
        handlesSignals = true;
        (["SIGINT", "SIGTERM", "SIGHUP"] as const).forEach(signal => process.once(signal, () => process.exit(signalExitCode)));
    }
}

const signalExitCode = 130;

/** A process that is killed when the launcher exits. */
export class FleetProcess {
    readonly name: string;
    /** Resolves with the exit code, or with the signal's name. */
    readonly exited: Promise<number | string>;
    readonly #child: ChildProcess;
    readonly #firstLine: Promise<string | undefined>;
    readonly #logFile: string;
    #exit: number | string | undefined;

    constructor(options: ProcessOptions) {
        exitOnSignals();
        this.name = options.name;
        this.#logFile = options.logFile;
        const log = openSync(options.logFile, "a");
        this.#child = spawn(process.execPath, options.command, { stdio: ["ignore", "pipe", log] });
        closeSync(log);
        running.add(this.#child);
        this.#firstLine = readFirstLine(this.#child);
        this.exited = new Promise(resolve => {
            this.#child.once("error", error => this.#ended(error.message, resolve));
            this.#child.once("exit", (code, signal) => this.#ended(code ?? signal ?? "unknown", resolve));
        });
    }

    /** The process id; 0 when the process could not be started. */
    get pid(): number {
        return this.#child.pid ?? 0;
    }

    /** True until the process ended. */
    get isRunning(): boolean {
        return this.#exit === undefined;
    }

    /** Waits for the first line on standard output; fails with the end of the log when there is none in time. */
    async firstLine(limitMs: number): Promise<string> {
        const line = await Promise.race([this.#firstLine, delay(limitMs, undefined, { ref: false })]);
        if (line === undefined) {
            throw new Error(`The process '${this.name}' printed no line within ${limitMs} ms.\n${this.logEnd()}`);
        }
        return line;
    }

    /** Sends a signal, such as SIGKILL, SIGSTOP or SIGCONT. */
    signal(signal: NodeJS.Signals): void {
        this.#child.kill(signal);
    }

    /** Kills the process and waits for its end. */
    async kill(): Promise<void> {
        this.#child.kill("SIGKILL");
        await this.exited;
    }

    /** Asks the process to stop; kills it when it is still running after the limit. Gives the exit code or signal. */
    async stop(limitMs: number): Promise<number | string> {
        this.#child.kill("SIGTERM");
        const exit = await Promise.race([this.exited, delay(limitMs, undefined, { ref: false })]);
        if (exit === undefined) {
            await this.kill();
        }
        return this.exited;
    }

    /** The last lines that the process wrote to standard error. */
    logEnd(): string {
        return readFileSync(this.#logFile, "utf8").slice(-2_000);
    }

    #ended(exit: number | string, resolve: (exit: number | string) => void): void {
        this.#exit = exit;
        running.delete(this.#child);
        resolve(exit);
    }
}

function readFirstLine(child: ChildProcess): Promise<string | undefined> {
    return new Promise(resolve => {
        if (child.stdout === null) {
            resolve(undefined);
            return;
        }
        const lines = createInterface({ input: child.stdout });
        lines.on("line", resolve);
        lines.once("close", () => resolve(undefined));
    });
}

/** Repeats a check until it gives a value; fails after the limit with what was waited for. */
export async function waitFor<T>(
    what: string,
    check: () => Promise<T | undefined> | T | undefined,
    options: { readonly limitMs: number; readonly everyMs?: number; },
): Promise<T> {
    const endMs = performance.now() + options.limitMs;
    for (;;) {
        const value = await check();
        if (value !== undefined) {
            return value;
        }
        if (performance.now() > endMs) {
            throw new Error(`Waited ${options.limitMs} ms in vain for ${what}.`);
        }
        await delay(options.everyMs ?? 50);
    }
}
