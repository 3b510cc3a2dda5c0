import { After, Given, Then, When } from "@cucumber/cucumber";
import { brandAs, createSystemClock, silentEventLog } from "@filbertrelay/kernel";
import type { HostId, Outcome } from "@filbertrelay/kernel";
import { createPeerNetwork, declareTopic, decodeFrame, encodeFrame, FrameReader } from "@filbertrelay/wire";
import type { Frame, PeerIssue, TcpPeerNetwork } from "@filbertrelay/wire";
import fc from "fast-check";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import * as z from "zod";
import { openForwarder } from "../support/forwarder.js";
import type { Forwarder } from "../support/forwarder.js";

const clock = createSystemClock();
const key = "correct-horse-battery";
const frameBytes = 100_000;
const seed = 20_261_204;
const waitMs = 20_000;
const echo = declareTopic("test.echo", { request: z.object({ value: z.int(), delayMs: z.int() }), reply: z.int() });
const endless = declareTopic("test.endless", { request: z.object({}), reply: z.int() });
const windowed = declareTopic("test.windowed", { request: z.int(), reply: z.string() }, { windowBytes: 20_000 });
const looseEcho = declareTopic("test.echo", { request: z.unknown(), reply: z.int() });
const missing = declareTopic("test.missing", { request: z.object({}), reply: z.object({}) });
const broken = declareTopic("test.broken", { request: z.object({}), reply: z.object({}) });
const wrong = declareTopic("test.wrong", { request: z.object({}), reply: z.string() });
const bulk = declareTopic("test.bulk", { request: z.string(), reply: z.object({}) });

interface WireWorld {
    networks: Map<string, TcpPeerNetwork>;
    forwarder: Forwarder;
    replies: Outcome<number, PeerIssue>[];
    isCancelled: boolean;
    chunks: AsyncIterator<Outcome<string, PeerIssue>>;
    chunkCount: number;
    chunksSent: number;
    callsRun: number;
    callsBefore: number;
    pending: Promise<Outcome<number, PeerIssue>>;
    closed: Promise<void>[];
}

After(async function(this: WireWorld) {
    await Promise.all([...this.networks?.values() ?? []].map(network => network.stop(0)));
    this.forwarder?.sockets.forEach(socket => socket.destroy());
    this.forwarder?.server.close();
});

async function startNetwork(world: WireWorld, name: string, keys: readonly string[] = [key]): Promise<TcpPeerNetwork> {
    world.networks ??= new Map();
    world.callsRun ??= 0;
    const network = createPeerNetwork({
        clock,
        log: silentEventLog,
        hostId: brandAs<HostId>(name),
        listenAddress: "127.0.0.1:0",
        keys,
        frameBytes,
        handshakeTimeoutMs: 5_000,
        verifyAfterMs: 300,
    });
    network.handle(echo, async ({ value, delayMs }) => {
        world.callsRun += 1;
        await delay(delayMs);
        return value;
    });
    network.handleStream(endless, async function*(body, { signal }) {
        assert.deepEqual(body, {});
        signal.addEventListener("abort", () => world.isCancelled = true);
        for (let count = 0; !signal.aborted; count++) {
            yield count;
            await delay(1);
        }
    });
    network.handleStream(windowed, async function*(count) {
        for (world.chunksSent = 0; world.chunksSent < count;) {
            yield String(world.chunksSent++).padStart(1_000);
            await Promise.resolve();
        }
    });
    network.handle(broken, () => Promise.reject(new Error("The handler failed.")));
    network.handle(wrong, () => Promise.resolve(5 as unknown as string));
    await network.start();
    world.networks.set(name, network);
    return network;
}

function network(world: WireWorld, name: string): TcpPeerNetwork {
    const found = world.networks.get(name);
    assert.ok(found);
    return found;
}

async function callEcho(from: TcpPeerNetwork, to: string, value: number, delayMs = 0): Promise<Outcome<number, PeerIssue>> {
    return from.call(brandAs<HostId>(to), echo, { value, delayMs }, { timeoutMs: waitMs });
}

Given("two connected peers {string} and {string}", connectThroughForwarder);
Given("two peers {string} and {string} connected through a forwarder", connectThroughForwarder);

async function connectThroughForwarder(this: WireWorld, first: string, second: string): Promise<void> {
    const caller = await startNetwork(this, first);
    const callee = await startNetwork(this, second);
    this.forwarder = await openForwarder(callee.address);
    caller.setAddress(brandAs<HostId>(second), this.forwarder.address);
    assert.deepEqual(await callEcho(caller, second, 7), { ok: true, value: 7 });
}

When("{string} sends 20 calls whose replies come in reverse order", async function(this: WireWorld, name: string) {
    const values = [...Array(20).keys()];
    this.replies = await Promise.all(values.map(value => callEcho(network(this, name), "birch", value, 200 - 10 * value)));
});

Then("each call got its own reply", function(this: WireWorld) {
    assert.deepEqual(this.replies.map(reply => reply.ok ? reply.value : reply.issue), [...this.replies.keys()]);
});

When("{string} reads 3 chunks of an endless stream and stops", async function(this: WireWorld, name: string) {
    const chunks: number[] = [];
    for await (const chunk of network(this, name).stream(brandAs<HostId>("birch"), endless, {}, { timeoutMs: waitMs })) {
        assert.ok(chunk.ok);
        chunks.push(chunk.value);
        if (chunks.length === 3) {
            break;
        }
    }
    assert.deepEqual(chunks, [0, 1, 2]);
});

When(
    "{string} reads the first of {int} chunks of 1000 bytes within a window of 20000 bytes and pauses",
    async function(this: WireWorld, name: string, count: number) {
        const options = { timeoutMs: waitMs };
        const chunks = network(this, name).stream(brandAs<HostId>("birch"), windowed, count, options)[Symbol.asyncIterator]();
        this.chunks = chunks;
        this.chunkCount = count;
        const first = await chunks.next();
        assert.ok(first.done !== true && first.value.ok && Number(first.value.value) === 0);
        await delay(200);
    },
);

Then(
    "no more than {int} chunks are sent until it reads on, and all arrive in order",
    async function(this: WireWorld, most: number) {
        assert.ok(this.chunksSent >= 15 && this.chunksSent <= most, `${this.chunksSent} chunks were sent`);
        for (let expected = 1; expected < this.chunkCount; expected += 1) {
            const next = await this.chunks.next();
            assert.ok(next.done !== true && next.value.ok && Number(next.value.value) === expected);
        }
        assert.equal((await this.chunks.next()).done, true);
    },
);

Then("the handler of the stream is aborted", async function(this: WireWorld) {
    await waitUntil(() => this.isCancelled);
});

Then("a call {} fails with {string} and is {}", async function(this: WireWorld, what: string, code: string, sent: string) {
    const outcome = await runFailingCall(this, what);
    assert.ok(!outcome.ok);
    assert.deepEqual(
        { code: outcome.issue.code, sent: outcome.issue.sent },
        { code, sent: sent === "sent" },
        outcome.issue.message,
    );
});

async function runFailingCall(world: WireWorld, what: string): Promise<Outcome<unknown, PeerIssue>> {
    const caller = network(world, "alder");
    const peer = brandAs<HostId>("birch");
    const options = { timeoutMs: waitMs };
    switch (what) {
        case "to a peer without address":
            return callEcho(caller, "cedar", 1);
        case "whose request fails its schema":
            return callEcho(caller, "birch", 1.5);
        case "larger than a frame":
            return caller.call(peer, bulk, "x".repeat(frameBytes + 1), options);
        case "without a handler":
            return caller.call(peer, missing, {}, options);
        case "that only the peer's schema refuses":
            return caller.call(peer, looseEcho, { value: "seven", delayMs: 0 }, options);
        case "whose handler throws":
            return caller.call(peer, broken, {}, options);
        case "whose reply fails its schema":
            return caller.call(peer, wrong, {}, options);
        case "whose reply is late":
            return caller.call(peer, echo, { value: 1, delayMs: 60_000 }, { timeoutMs: 50 });
        case "whose peer stops": {
            const pending = callEcho(caller, "birch", 1, 60_000);
            const before = world.callsRun;
            await waitUntil(() => world.callsRun > before);
            await network(world, "birch").stop(0);
            return pending;
        }
        case "to the stopped peer":
            return callEcho(caller, "birch", 1);
        default:
            assert.fail(`Unknown case '${what}'.`);
    }
}

Given("a peer {string} that accepts the keys {string}", async function(this: WireWorld, name: string, keys: string) {
    await startNetwork(this, name, keys.split(","));
});

Then(
    /^a host with the key "(.*)" (can|can't) call "(.*)"$/,
    async function(this: WireWorld, own: string, can: string, name: string) {
        const host = await startNetwork(this, `host-${own}`, [own]);
        host.setAddress(brandAs<HostId>(name), network(this, name).address);
        const outcome = await callEcho(host, name, 3);
        assert.equal(outcome.ok, can === "can");
        assert.ok(outcome.ok || (outcome.issue.code === "peer.unreachable" && !outcome.issue.sent));
    },
);

When(
    "everything that {string} sent to {string} is sent again on a new connection",
    async function(this: WireWorld, first: string, second: string) {
        assert.ok(network(this, first).traffic().some(({ topic, framesSent }) => topic === echo.name && framesSent === 1));
        this.callsBefore = this.callsRun;
        this.closed = [sendRaw(network(this, second), Buffer.concat(this.forwarder.recorded))];
        await Promise.all(this.closed);
    },
);

Then("{string} closes the connection and runs no call", async function(this: WireWorld, name: string) {
    assert.ok(network(this, name).address);
    await Promise.all(this.closed);
    assert.equal(this.callsRun, this.callsBefore);
});

When("{int} connections send random bytes to {string}", async function(this: WireWorld, count: number, name: string) {
    this.callsBefore = this.callsRun;
    const samples = fc.sample(fc.uint8Array({ minLength: 1, maxLength: 600 }), { seed, numRuns: count });
    console.log(`Random bytes: seed ${seed}, ${count} runs.`);
    this.closed = [];
    for (const sample of samples) {
        this.closed.push(sendRaw(network(this, name), Buffer.from(sample)));
    }
    await Promise.all(this.closed);
});

When("a connection announces a frame of {int} bytes", async function(this: WireWorld, bytes: number) {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(bytes);
    this.closed.push(sendRaw(network(this, "birch"), length, false));
    await Promise.all(this.closed);
});

Then("{string} can still call {string}", async function(this: WireWorld, first: string, second: string) {
    assert.deepEqual(await callEcho(network(this, first), second, 9), { ok: true, value: 9 });
});

// Resolves when the peer closes the connection. `halfClose` ends the sending side, since random bytes may announce a longer frame than they contain.
function sendRaw(target: TcpPeerNetwork, bytes: Buffer, halfClose = true): Promise<void> {
    return new Promise(resolve => {
        const socket = connect(Number(target.address.split(":")[1]), "127.0.0.1", () => {
            socket.write(bytes);
            if (halfClose) {
                socket.end();
            }
        });
        socket.on("error", () => undefined).on("data", () => undefined).on("close", () => resolve());
    });
}

const anyFrame: fc.Arbitrary<Frame> = fc.record({
    kind: fc.constantFrom("request", "reply", "event", "chunk", "end"),
    topic: fc.string({ maxLength: 20 }),
    id: fc.nat(),
    body: fc.oneof(
        fc.integer(),
        fc.string(),
        fc.array(fc.boolean()),
        fc.record({ value: fc.string() }, { noNullPrototype: true }),
    ),
}, { noNullPrototype: true });

function readAll(chunks: readonly Uint8Array[]): { readonly frames: Frame[]; readonly isRefused: boolean; } {
    const reader = new FrameReader(10_000);
    const frames: Frame[] = [];
    for (const chunk of chunks) {
        reader.push(Buffer.from(chunk));
        for (let next = reader.next(); next !== undefined; next = reader.next()) {
            if (!next.ok) {
                return { frames, isRefused: true };
            }
            frames.push(next.value.frame);
        }
    }
    return { frames, isRefused: false };
}

Then("frames split at random positions are read completely", function() {
    const property = fc.property(fc.array(anyFrame, { maxLength: 8 }), fc.array(fc.nat(500)), (frames, cuts) => {
        const bytes = Buffer.concat(frames.map(frame => {
            const encoded = encodeFrame(frame, 10_000);
            assert.ok(encoded.ok);
            return encoded.value;
        }));
        const positions = [0, ...cuts.filter(cut => cut < bytes.length).sort((left, right) => left - right), bytes.length];
        const chunks = positions.slice(1).map((end, index) => bytes.subarray(positions[index], end));
        assert.deepEqual(readAll(chunks), { frames, isRefused: false });
    });
    fc.assert(property, { seed, numRuns: 300 });
});

Then("reading random bytes never throws", function() {
    fc.assert(
        fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
            decodeFrame(bytes);
            readAll([bytes]);
        }),
        { seed, numRuns: 5_000 },
    );
});

When("the forwarder black-holes the open connection", async function(this: WireWorld) {
    const before = this.callsRun;
    this.pending = callEcho(network(this, "alder"), "birch", 1, 2_000);
    await waitUntil(() => this.callsRun > before);
    this.forwarder.blackHole();
});

Then("calls succeed again on a new connection without a restart", async function(this: WireWorld) {
    const peer = brandAs<HostId>("birch");
    await waitUntil(async () => {
        const outcome = await network(this, "alder").call(peer, echo, { value: 4, delayMs: 0 }, { timeoutMs: 1_000 });
        return outcome.ok;
    });
});

Then("the call that was in progress fails as closed and sent", async function(this: WireWorld) {
    const outcome = await this.pending;
    assert.ok(!outcome.ok);
    assert.deepEqual({ code: outcome.issue.code, sent: outcome.issue.sent }, { code: "peer.closed", sent: true });
});

When("the connection is black-holed while no call is in progress and stays quiet", async function(this: WireWorld) {
    this.forwarder.blackHole();
    await delay(400);
});

Then("the next call succeeds", async function(this: WireWorld) {
    assert.deepEqual(await callEcho(network(this, "alder"), "birch", 6), { ok: true, value: 6 });
});

async function waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
    const endMs = clock.monotonicMs() + waitMs;
    while (!await condition()) {
        assert.ok(clock.monotonicMs() < endMs, `The condition was not met within ${waitMs} ms.`);
        await delay(5);
    }
}

When("the forwarder passes everything on {int} ms late", function(this: WireWorld, delayMs: number) {
    this.forwarder.delayMs = delayMs;
});

Then(
    "{int} calls {int} ms apart are answered within {int} ms each, over at most {int} connections",
    { timeout: 30_000 },
    async function(this: WireWorld, count: number, intervalMs: number, timeoutMs: number, connections: number) {
        const calls: Promise<Outcome<number, PeerIssue>>[] = [];
        for (let value = 0; value < count; value += 1) {
            const options = { timeoutMs, isRepeatable: true };
            calls.push(network(this, "alder").call(brandAs<HostId>("birch"), echo, { value, delayMs: 0 }, options));
            await delay(intervalMs);
        }
        const failed = (await Promise.all(calls)).filter(({ ok }) => !ok);
        assert.deepEqual(failed, []);
        assert.ok(this.forwarder.connections <= connections, `${this.forwarder.connections} connections`);
    },
);
