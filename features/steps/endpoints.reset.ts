import { After, Given, Then } from "@cucumber/cucumber";
import { createServiceDriver } from "@filbertrelay/endpoints";
import { ConnectionPool } from "@filbertrelay/ingress";
import type { EndpointRecord } from "@filbertrelay/ingress";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { EndpointId, RequestId } from "@filbertrelay/kernel";
import assert from "node:assert/strict";
import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { fileURLToPath } from "node:url";

interface ResetWorld {
    resettingService: ChildProcess;
    address: string;
}

const clock = createSystemClock();
const limitMs = 10_000;

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
    /^(\d+) requests of (\d+) MB that are answered with "(.+)" end with (.+) at (the driver of plain services|an ingress)$/,
    { timeout: 60_000 },
    async function(this: ResetWorld, count: string, megabytes: string, way: string, result: string, receiver: string) {
        const body = Buffer.alloc(Number(megabytes) * 1e6, "x");
        const send = receiver === "an ingress" ? sendByIngress : sendByDriver;
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
