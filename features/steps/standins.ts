import { After, Given, Then, When } from "@cucumber/cucumber";
import { createEngineDriver } from "@filbertrelay/endpoints";
import type { EndpointIssue, EngineFinish, EngineItem, EngineRequest } from "@filbertrelay/endpoints";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { Outcome, RequestId } from "@filbertrelay/kernel";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import { request } from "undici";
import { standInScript, startStandIn } from "./process.js";
import type { StandInProcess } from "./process.js";

export interface StandInWorld {
    standIns: Map<string, StandInProcess>;
    standInHosts: Map<string, ChildProcess>;
    brokenRelays: Server[];
    urls: Map<string, string>;
    check: { readonly output: string; readonly exitCode: number; };
    results: (Outcome<unknown> | undefined)[];
    streams: Promise<readonly EngineItem[]>[];
    firstTokens: string[];
    tokens: string[];
    finish: EngineFinish;
    blocked: AbortController;
}

export const clock = createSystemClock();
export const engines = createEngineDriver({ clock });

After(async function(this: StandInWorld) {
    this.standInHosts?.forEach(host => host.kill("SIGKILL"));
    this.standIns?.forEach(standIn => standIn.child.kill("SIGKILL"));
    this.brokenRelays?.forEach(relay => {
        relay.closeAllConnections();
        relay.close();
    });
});

export function standIn(world: StandInWorld, name: string): StandInProcess {
    const found = world.standIns.get(name);
    assert.ok(found !== undefined, `No stand-in is named '${name}'.`);
    return found;
}

export function engineRequest(id: string, prompt: string, options: Partial<EngineRequest> = {}): EngineRequest {
    const messages = [{ role: "user" as const, content: prompt }];
    return { requestId: brandAs<RequestId>(id), model: "small", messages, maxTokens: 20, seed: 1, priority: 5, ...options };
}

export async function collect(items: AsyncIterable<EngineItem>): Promise<readonly EngineItem[]> {
    const collected: EngineItem[] = [];
    for await (const item of items) {
        collected.push(item);
    }
    return collected;
}

export function issueOf(items: readonly EngineItem[]): EndpointIssue | undefined {
    const last = items.at(-1);
    return last?.type === "issue" ? last.issue : undefined;
}

export function textOf(items: readonly EngineItem[]): string {
    return items.map(item => item.type === "token" ? item.token.text : "").join("");
}

Given(
    "a stand-in {string} of kind {string} with options {string}",
    async function(this: StandInWorld, name: string, kind: string, options: string) {
        this.standIns ??= new Map();
        this.urls ??= new Map();
        const words = options.split(" ").filter(word => word !== "").map(word =>
            word.startsWith("URL:") ? standIn(this, word.slice("URL:".length)).url : word
        );
        this.standIns.set(name, await startStandIn([kind, ...words]));
        this.urls.set(name, standIn(this, name).url);
    },
);

type Fault = (message: IncomingMessage, reply: { status: number; headers: Record<string, string>; body: string; }) => void;

let writes = 0;
const faults: Readonly<Record<string, Fault>> = {
    "ignores the expected version": (...[, reply]) => {
        if (reply.status === 409) {
            Object.assign(reply, { status: 200, body: "{\"version\":1000000}" });
        }
    },
    "forgets every second write": (...[, reply]) => {
        reply.body = reply.body.replaceAll("value 1", "value 0");
    },
    "shows hosts as running": (message, reply) => {
        reply.body = message.method === "GET" ? reply.body.replaceAll("terminated", "running") : reply.body;
    },
    "repeats an offset": (...[, reply]) => {
        reply.body = reply.body.replace("id: 4\n", "id: 3\n");
    },
    "mixes up request ids": (...[, reply]) => {
        writes += 1;
        reply.body = writes % 2 === 0 ? reply.body.replace(/"id":"[^"]*"/, "\"id\":\"other\"") : reply.body;
        if (reply.headers["x-request-id"] !== undefined) {
            reply.headers["x-request-id"] = "other";
        }
    },
    "passes everything": () => undefined,
};

Given(
    /^"([^"]*)" is "([^"]*)" behind a relay that (.*)$/,
    async function(this: StandInWorld, name: string, original: string, fault: string) {
        const target = standIn(this, original).url;
        const server = createServer((message, outgoing) => void relay(target, faults[fault]!, message, outgoing));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        this.brokenRelays = [server];
        this.urls.set(name, `http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    },
);

async function relay(target: string, fault: Fault, message: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const { host, "content-length": length, "transfer-encoding": encoding, connection, ...headers } = message.headers;
    void [host, length, encoding, connection];
    const sent = await text(message);
    const response = await request(`${target}${message.url}`, {
        method: message.method as "GET",
        headers: headers as Record<string, string>,
        body: sent === "" ? null : sent,
    });
    const { "content-length": ignored, "transfer-encoding": chunked, ...answered } = response.headers;
    void [ignored, chunked];
    const reply = { status: response.statusCode, headers: answered as Record<string, string>, body: await response.body.text() };
    fault(message, reply);
    outgoing.writeHead(reply.status, reply.headers);
    outgoing.end(reply.body);
}

When(
    "the conformance check of kind {string} runs on {string} with {string}",
    async function(this: StandInWorld, kind: string, name: string, claims: string) {
        const words = [
            standInScript("conformance.js"),
            kind,
            this.urls.get(name)!,
            ...claims.split(" ").filter(word => word !== ""),
        ];
        const child = spawn(process.execPath, words, { stdio: ["ignore", "pipe", "inherit"] });
        const [output, exitCode] = await Promise.all([
            text(child.stdout),
            new Promise<number>(resolve => child.once("exit", resolve)),
        ]);
        this.check = { output, exitCode };
    },
);

Then("the check passes {int} rules and exits with {int}", function(this: StandInWorld, rules: number, exitCode: number) {
    assert.ok(this.check.output.endsWith(`${rules} passed, 0 failed\n`), this.check.output);
    assert.equal(this.check.exitCode, exitCode);
});

Then(
    "the check reports rule {string} as broken and exits with {int}",
    function(this: StandInWorld, rule: string, exitCode: number) {
        assert.match(this.check.output, new RegExp(`^FAIL ${rule} `, "m"));
        assert.equal(this.check.exitCode, exitCode);
    },
);
