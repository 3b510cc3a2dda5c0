import { After, Given, Then, When } from "@cucumber/cucumber";
import { JsonClient } from "@filbertrelay/connectors";
import { createServiceDriver } from "@filbertrelay/endpoints";
import { ConnectionPool } from "@filbertrelay/ingress";
import type { EndpointRecord } from "@filbertrelay/ingress";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { EndpointId, HostId, RequestId } from "@filbertrelay/kernel";
import assert from "node:assert/strict";
import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { probeAddress } from "../../packages/ingress/src/endpoint/reachability.js";
import { probeEndpoint } from "../../packages/ingress/src/endpoint/statusprobe.js";
import { echoTopic } from "../support/echotopic.js";
import { createTestPeers } from "../support/peernetwork.js";
import { createRandom } from "../support/random.js";

interface LateWorld {
    answeringProcess: ChildProcess;
    httpAddress: string;
    peerAddress: string;
    /** What became of the wait; `answered` if the answer counted. */
    outcome: string;
}

const seed = 53;
const clock = createSystemClock();
const limitMs = 500;

Given("an endpoint, a peer and a store that answer within 100 ms", async function(this: LateWorld) {
    const file = fileURLToPath(new URL("../support/answeringprocess.ts", import.meta.url));
    this.answeringProcess = fork(file, { execArgv: ["--import", "tsx"] });
    const { httpAddress, peerAddress } = await new Promise<Pick<LateWorld, "httpAddress" | "peerAddress">>(resolve =>
        this.answeringProcess.once("message", message => resolve(message as Pick<LateWorld, "httpAddress" | "peerAddress">))
    );
    this.httpAddress = httpAddress;
    this.peerAddress = peerAddress;
});

After(function(this: Partial<LateWorld>) {
    this.answeringProcess?.kill();
});

When(/^the host is busy for (\d+) ms while it waits for (.+)$/, async function(this: LateWorld, busyMs: string, answer: string) {
    this.outcome = await waits[answer]!(this, () => keepBusy(Number(busyMs)));
});

Then("the answer counts", function(this: LateWorld) {
    assert.equal(this.outcome, "answered");
});

/** Begins to wait, keeps the host busy until the answer has come and the time for it is over, and tells what became of it. */
type Wait = (world: LateWorld, beBusy: () => void) => Promise<string>;

const waits: Readonly<Record<string, Wait>> = {
    "an endpoint to accept a connection": ({ httpAddress }, beBusy) =>
        new Promise(resolve => {
            const link = new ConnectionPool(clock).acquire(createEndpoint(httpAddress), Infinity);
            link.send({ method: "GET", target: "/", headers: [["Host", "endpoint"]], body: Buffer.alloc(0) }, {
                onHead: () => true,
                onBody: () => undefined,
                onComplete: () => resolve("answered"),
                onFailure: ({ detail }) => resolve(detail),
            });
            // The connection is opened in the callbacks that are due at the end of this turn.
            process.nextTick(beBusy);
        }),
    "an address to accept a connection": async ({ httpAddress }, beBusy) => {
        const reached = probeAddress(clock, httpAddress);
        process.nextTick(beBusy);
        return await reached === "accepted" ? "answered" : reached;
    },
    "a status probe to be accepted": ({ httpAddress }, beBusy) => {
        const probe = probeEndpoint(createEndpoint(httpAddress), { clock, openSocket: connect, statusPath: "/status" });
        process.nextTick(beBusy);
        return probe;
    },
    "the answer to a status probe": ({ httpAddress }, beBusy) =>
        probeEndpoint(createEndpoint(httpAddress), {
            clock,
            openSocket: options => connect(options).once("connect", () => setImmediate(beBusy)),
            statusPath: "/status",
        }),
    "the reply of a peer": async ({ peerAddress }, beBusy) => {
        const peers = createTestPeers(clock, brandAs<HostId>("calling"), "127.0.0.1:0");
        const answering = brandAs<HostId>("answering");
        await peers.start();
        peers.setAddress(answering, peerAddress);
        const options = { timeoutMs: limitMs, isRepeatable: true };
        await peers.call(answering, echoTopic, {}, options);
        const reply = peers.call(answering, echoTopic, {}, options);
        setImmediate(beBusy);
        const result = await reply;
        await peers.stop(clock.monotonicMs());
        return result.ok ? "answered" : result.issue.message;
    },
    "the answer of the store": async ({ httpAddress }, beBusy) => {
        const client = new JsonClient({ url: `http://${httpAddress}`, clock, timeoutMs: limitMs });
        await client.call({ method: "GET", path: "/" });
        const answer = client.call({ method: "GET", path: "/" });
        // At the end of a turn, so that the timers come before the input in the next one.
        setTimeout(() => setImmediate(beBusy), 20);
        const result = await answer;
        return result.ok ? "answered" : result.issue.message;
    },
    "the answer of a plain service": async ({ httpAddress }, beBusy) => {
        const driver = createServiceDriver({ clock });
        const request = {
            requestId: brandAs<RequestId>("r.1.1"),
            method: "GET",
            path: "/",
            headers: {},
            body: Buffer.alloc(0),
        };
        await driver.send(httpAddress, request, { timeoutMs: limitMs });
        const answer = driver.send(httpAddress, request, { timeoutMs: limitMs });
        setTimeout(() => setImmediate(beBusy), 20);
        const result = await answer;
        await driver.stop();
        return result.ok ? "answered" : result.issue.message;
    },
};

function createEndpoint(address: string): EndpointRecord {
    return { endpointId: brandAs<EndpointId>("endpoint"), startedAtMs: 1, address } as EndpointRecord;
}

/** Lets no input be read for a time. */
function keepBusy(ms: number): void {
    const untilMs = clock.monotonicMs() + ms;
    while (clock.monotonicMs() < untilMs) {
        // The event loop stands still.
    }
}

Then(
    "in {int} seeded series of busy turns no wait ends before input that came in time, and each ends in the turn after its time",
    { timeout: 60_000 },
    async (series: number) => {
        const draw = createRandom(seed);
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        for (let index = 0; index < series; index += 1) {
            const waitMs = Math.round(5 + draw() * 40);
            const startMs = clock.monotonicMs();
            const ended: string[] = [];
            const isOver = new Promise<void>(resolve =>
                clock.afterInput(waitMs, () => {
                    ended.push("timer");
                    assert.ok(clock.monotonicMs() - startMs >= waitMs - 1, `series ${index}, seed ${seed}`);
                    resolve();
                })
            );
            const socket = connect(port, "127.0.0.1");
            socket.once("connect", () => ended.push("input"));
            // The peer's system accepts at once, so that the input is there before any of these turns ends.
            process.nextTick(() => keepBusy(draw() * 60));
            for (let turn = 0; turn < 3; turn += 1) {
                setImmediate(() => keepBusy(draw() * 30));
            }
            await isOver;
            socket.destroy();
            assert.deepEqual(ended, ["input", "timer"], `series ${index}, seed ${seed}`);
        }
        server.close();
    },
);
