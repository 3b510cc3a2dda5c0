import { After, Given, Then } from "@cucumber/cucumber";
import { createEngineDriver, createServiceDriver } from "@filbertrelay/endpoints";
import type { EngineItem } from "@filbertrelay/endpoints";
import { ConnectionPool } from "@filbertrelay/ingress";
import type { EndpointRecord, EndpointRequest } from "@filbertrelay/ingress";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { EndpointId, RequestId } from "@filbertrelay/kernel";
import assert from "node:assert/strict";
import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";
import { describeEndpoint, RelayHost } from "../support/relayhost.js";

interface ResetWorld {
    resettingService: ChildProcess;
    address: string;
}

const clock = createSystemClock();
const limitMs = 10_000;
/** Enough for a request that the sockets on its way can't hold. */
const relayFrameBytes = 8_388_608;
const relayLimits = { requests: 1, bytes: 2 * relayFrameBytes };

Given("a service as a process of its own", async function(this: ResetWorld) {
    const file = fileURLToPath(new URL("../support/resettingservice.ts", import.meta.url));
    this.resettingService = fork(file, { execArgv: ["--import", "tsx"] });
    const port = await new Promise<unknown>(resolve => this.resettingService.once("message", resolve));
    this.address = `127.0.0.1:${String(port)}`;
});

After(function(this: Partial<ResetWorld>) {
    this.resettingService?.kill();
});

Then(
    /^(\d+) requests of (\d+) MB that are answered with "(.+)" end with (.+) at (the driver of plain services|an ingress|the other host)$/,
    { timeout: 60_000 },
    async function(this: ResetWorld, count: string, megabytes: string, way: string, result: string, receiver: string) {
        const body = Buffer.alloc(Number(megabytes) * 1e6, "x");
        const ways = { "an ingress": sendByIngress, "the other host": sendByOtherHost };
        const send = ways[receiver as keyof typeof ways] ?? sendByDriver;
        for (let sent = 0; sent < Number(count); sent += 1) {
            assert.equal(await send(this.address, `/${way}`, body), result, `request ${sent}`);
        }
    },
);

/** Returns the status and the body of a complete answer, or `failed`. */
async function sendByDriver(address: string, path: string, body: Buffer): Promise<string> {
    const driver = createServiceDriver({ clock });
    const request = { requestId: brandAs<RequestId>("r.1.1"), method: "POST", path, headers: {}, body };
    const answer = await driver.send(address, request, { timeoutMs: limitMs });
    await driver.stop();
    return answer.ok ? `${answer.value.status}, ${Buffer.from(answer.value.body).toString()}` : "failed";
}

function sendByIngress(address: string, target: string, body: Buffer): Promise<string> {
    return new Promise(resolve => {
        const endpoint = { endpointId: brandAs<EndpointId>("endpoint"), startedAtMs: 1, address } as EndpointRecord;
        const link = new ConnectionPool(clock).acquire(endpoint, Infinity);
        let answer = "";
        link.send({ method: "POST", target, headers: [["Host", "service"]], body }, {
            onHead: ({ status }) => {
                answer = `${status}, `;
                return true;
            },
            onBody: chunk => answer += chunk.toString(),
            onComplete: () => resolve(answer),
            onFailure: () => resolve("failed"),
        });
    });
}

/** Sends a request through a second host, over a connection between the two. */
async function sendByOtherHost(address: string, target: string, body: Buffer): Promise<string> {
    const [caller, relay] = ["caller", "relay"].map(name => new RelayHost(name, relayLimits, relayFrameBytes));
    assert.ok(caller !== undefined && relay !== undefined);
    const endpoint = describeEndpoint({ address });
    relay.endpoints = [endpoint];
    await Promise.all([caller.start(), relay.start()]);
    caller.connectTo(relay);
    const request: EndpointRequest = { method: "POST", target, headers: [["Host", "service"]], body };
    const { record, ended } = caller.send(endpoint, request, { relay: relay.hostId, remainingMs: limitMs });
    await ended;
    await Promise.all([caller.stop(), relay.stop()]);
    return record.completions === 1 ? `${record.heads[0]?.status ?? 0}, ${record.body.toString()}` : "failed";
}

Then(
    /^(\d+) generations of (\d+) MB that are answered with "(.+)" end without a finish at the driver of engines$/,
    { timeout: 60_000 },
    async function(this: ResetWorld, count: string, megabytes: string, way: string) {
        this.resettingService.send(`/${way}`);
        for (let sent = 0; sent < Number(count); sent += 1) {
            const driver = createEngineDriver({ clock });
            const request = {
                requestId: brandAs<RequestId>("r.1.1"),
                model: "model",
                messages: [{ role: "user" as const, content: "x".repeat(Number(megabytes) * 1e6) }],
                maxTokens: 10,
                seed: 1,
                priority: 1,
            };
            const items: EngineItem[] = [];
            for await (const item of driver.generate(this.address, request, { silenceMs: limitMs })) {
                items.push(item);
            }
            await driver.stop();
            assert.deepEqual(items.map(({ type }) => type), ["issue"], `generation ${sent}`);
        }
    },
);
