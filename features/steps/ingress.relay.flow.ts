import { Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { HostId } from "@filbertrelay/kernel";
import { renderResponse, renderStreamHead, StandinEngine, streamEnd } from "@filbertrelay/platform/standins";
import type { EngineConnection } from "@filbertrelay/platform/standins";
import fc from "fast-check";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { waitFor } from "../support/ingress.js";
import { createRequest, describeEndpoint, RelayHost } from "../support/relayhost.js";
import { createText, hostOf, reportTopic, sendThrough } from "../support/relayworld.js";
import type { RelayWorld } from "../support/relayworld.js";

// A failed property prints this seed with the counterexample.
const seed = 20_261_206;
/** The window, its frames' heads, one frame that fills it and one that has been taken. */
const heldAtCallerBytes = 131_072 + 3 * 65_536;
const heldAtRelayBytes = 65_536;

When(
    "{string} sends {int} requests through {string} and reads only their heads",
    async function(this: RelayWorld, name: string, count: number, relay: string) {
        for (let index = 0; index < count; index += 1) {
            sendThrough(this, name, relay).link.pause();
        }
        await waitFor(() => Promise.resolve(this.engine.requests.length === count));
    },
);

Then(
    "within {int} ms {string} and {string} hold no more than the window and a few frames of each",
    async function(this: RelayWorld, withinMs: number, name: string, relay: string) {
        await delay(withinMs);
        const count = this.sent.length;
        const readBytes = hostOf(this, relay).readBytes;
        const receivedBytes = hostOf(this, name).relayedBytes("bytesReceived");
        assert.ok(receivedBytes <= count * heldAtCallerBytes, `${name} holds ${receivedBytes} bytes`);
        assert.ok(receivedBytes >= count * 100_000, `${name} got only ${receivedBytes} bytes`);
        const heldBytes = readBytes - hostOf(this, relay).relayedBytes("bytesSent");
        assert.ok(heldBytes <= count * heldAtRelayBytes, `${relay} holds ${heldBytes} bytes`);
        assert.ok(this.sent.every(({ record }) => record.pieces.length <= 1));
    },
);

async function measureCallMs(world: RelayWorld): Promise<number> {
    const beginMs = performance.now();
    const reply = await hostOf(world, "alder").peers.call(brandAs<HostId>("birch"), reportTopic, "use", { timeoutMs: 5_000 });
    assert.ok(reply.ok);
    return performance.now() - beginMs;
}

Then(
    "another request through {string} is answered within {int} ms, and a call beside it within {int} ms",
    async function(this: RelayWorld, relay: string, answerMs: number, callMs: number) {
        this.engine.behaviour = (received, { send }) => send(renderResponse(received));
        const beginMs = performance.now();
        const id = "request-beside";
        const { record, ended } = hostOf(this, "alder").send(this.endpoint, createRequest(id), { relay: brandAs<HostId>(relay) });
        const measuredMs = await measureCallMs(this);
        await ended;
        assert.equal(record.body.toString(), "done");
        assert.ok(performance.now() - beginMs < answerMs, `the answer took ${performance.now() - beginMs} ms`);
        assert.ok(measuredMs < callMs, `the call took ${measuredMs} ms`);
    },
);

Then("the whole answers arrive when {string} reads on", async function(this: RelayWorld, name: string) {
    this.sent.forEach(({ link }) => link.resume());
    await Promise.all(this.sent.map(({ ended }) => ended));
    const whole = Buffer.from(createText(20_000_000));
    assert.ok(this.sent.every(({ record }) => record.completions === 1 && record.body.equals(whole)));
    assert.equal(hostOf(this, name).links.inProgress(brandAs<HostId>("birch")), 0);
});

Then("calls to {string} are answered within {int} ms until the answers have ended", async function(
    this: RelayWorld,
    relay: string,
    withinMs: number,
) {
    assert.equal(relay, "birch");
    let longestMs = 0;
    let calls = 0;
    while (this.sent.some(({ record }) => record.ends === 0)) {
        longestMs = Math.max(longestMs, await measureCallMs(this));
        calls += 1;
        await delay(5);
    }
    assert.ok(this.sent.every(({ record }) => record.completions === 1));
    assert.ok(calls > 3 && longestMs < withinMs, `${calls} calls, the longest ${longestMs} ms`);
});

Given("an engine that sends {int} pieces of {int} bytes", function(this: RelayWorld, count: number, bytes: number) {
    this.engine.behaviour = async (received, { send }) => {
        const body = createText(count * bytes);
        send(renderResponse(received, { body }).slice(0, -body.length));
        for (let sent = 0; sent < count; sent += 1) {
            await delay(1);
            send(body.slice(sent * bytes, (sent + 1) * bytes));
        }
    };
});

When(
    "{string} does not read its answer through {string} until the engine has sent all of it",
    async function(this: RelayWorld, name: string, relay: string) {
        sendThrough(this, name, relay).link.pause();
        await waitFor(() => Promise.resolve(hostOf(this, relay).readBytes === 150_000));
        assert.equal(hostOf(this, relay).handler.inProgress, 1, "The answer was sent on whole.");
    },
);

When("the engine's connection carries another request and the first one is cancelled", async function(this: RelayWorld) {
    this.engine.behaviour = (received, { send }) => void setTimeout(() => send(renderResponse(received)), 100);
    const { link } = sendThrough(this, "alder", "birch");
    await waitFor(() => Promise.resolve(this.engine.requests.length === 2));
    assert.equal(link.isReused, true);
    this.sent[0]!.link.close();
});

Then("the other request gets its answer", async function(this: RelayWorld) {
    const { record, ended } = this.sent[1]!;
    await ended;
    assert.deepEqual([record.completions, record.body.toString()], [1, "done"]);
});

interface Schedule {
    readonly start: "open" | "closedEngine" | "full" | "cutOff" | "unknownHost";
    readonly steps: readonly { readonly kind: StepKind; readonly size: number; }[];
}

type StepKind = "piece" | "wait" | "pause" | "resume" | "cancel" | "loseRelay" | "reset" | "close" | "finish";

const schedules: fc.Arbitrary<Schedule> = fc.record({
    start: fc.oneof(
        { weight: 8, arbitrary: fc.constant("open" as const) },
        { weight: 2, arbitrary: fc.constantFrom("closedEngine" as const, "full", "cutOff", "unknownHost") },
    ),
    steps: fc.array(
        fc.record({
            kind: fc.oneof(
                { weight: 12, arbitrary: fc.constantFrom<StepKind>("piece", "piece", "piece", "wait", "pause", "resume") },
                { weight: 1, arbitrary: fc.constantFrom<StepKind>("cancel", "loseRelay", "reset", "close", "finish") },
            ),
            size: fc.oneof(fc.integer({ min: 1, max: 300 }), fc.integer({ min: 1, max: 90_000 })),
        }),
        { minLength: 1, maxLength: 30, size: "max" },
    ),
});

/** What the engine of a schedule has written. */
class ScheduledEngine {
    readonly engine = new StandinEngine((received, connection) => {
        this.#connection = connection;
        connection.send(renderStreamHead(received));
    });
    readonly #pieces: string[] = [];
    #connection: EngineConnection | undefined;
    end: "finish" | "reset" | "close" | undefined;

    get written(): string {
        return this.#pieces.join("");
    }

    get isAsked(): boolean {
        return this.#connection !== undefined;
    }

    write(size: number): void {
        if (this.#connection !== undefined && this.end === undefined) {
            const piece = `${this.#pieces.length}`.padStart(size, "x");
            this.#pieces.push(piece);
            this.#connection.send(`${piece.length.toString(16)}\r\n${piece}\r\n`);
        }
    }

    finish(end: "finish" | "reset" | "close"): void {
        if (this.#connection !== undefined && this.end === undefined) {
            this.end = end;
            if (end === "finish") {
                this.#connection.send(streamEnd);
            }
            else {
                this.#connection[end]();
            }
        }
    }
}

async function runSchedule({ start, steps }: Schedule): Promise<void> {
    const scheduled = new ScheduledEngine();
    const { engine } = scheduled;
    await engine.start();
    const endpoint = describeEndpoint(engine);
    const caller = new RelayHost("alder");
    const relay = new RelayHost("birch", start === "full" ? { requests: 0, bytes: 0 } : undefined);
    try {
        await Promise.all([caller.start(), relay.start()]);
        relay.endpoints = [endpoint];
        relay.isCutOff = start === "cutOff";
        if (start !== "unknownHost") {
            caller.connectTo(relay);
        }
        if (start === "closedEngine") {
            engine.stop();
        }
        const { link, record, ended } = caller.send(endpoint, createRequest("request-1"), { relay: relay.hostId });
        let isDisturbed = start !== "open";
        let callsAtEnd = -1;
        void ended.then(() => callsAtEnd = record.calls);
        if (start === "open" && steps[0]?.kind !== "cancel") {
            await waitFor(() => Promise.resolve(scheduled.isAsked));
        }
        for (const { kind, size } of steps) {
            isDisturbed ||= kind === "cancel" || kind === "loseRelay" || kind === "reset" || kind === "close";
            switch (kind) {
                case "piece":
                    scheduled.write(size);
                    break;
                case "wait":
                    await delay(size % 4);
                    break;
                case "cancel":
                    link.close();
                    break;
                case "loseRelay":
                    await relay.peers.stop(0);
                    break;
                case "pause":
                case "resume":
                    link[kind]();
                    break;
                default:
                    scheduled.finish(kind);
            }
        }
        scheduled.finish("finish");
        link.resume();
        await Promise.race([ended, delay(3_000)]);
        await delay(5);
        const received = record.body.toString();
        assert.equal(record.ends, 1, "The request has not one end.");
        assert.equal(record.calls, callsAtEnd, "Something came after the end.");
        assert.ok(scheduled.written.startsWith(received), "Something else came than was sent.");
        assert.ok(isDisturbed || record.completions === 1, JSON.stringify(record.failures));
        assert.ok(record.completions === 0 || (received === scheduled.written && scheduled.end === "finish"), "Cut off.");
        assert.ok(record.failures[0]?.wasSent !== false || !scheduled.isAsked, "The engine got an unsent request.");
        assert.equal(caller.links.inProgress(relay.hostId), 0);
        await waitFor(() => Promise.resolve(relay.handler.inProgress === 0 && relay.handler.heldBytes === 0));
        const isWholeAtRelay = relay.results.includes("relaying answered");
        await waitFor(() => Promise.resolve(isWholeAtRelay || engine.connections === 0));
    }
    finally {
        engine.stop();
        await Promise.all([caller.stop(), relay.stop()]);
    }
}

Then(
    "requests through another host keep their promises in {int} random schedules",
    { timeout: 120_000 },
    async function(runs: number) {
        await fc.assert(fc.asyncProperty(schedules, runSchedule), { seed, numRuns: runs, includeErrorInReport: true });
    },
);
