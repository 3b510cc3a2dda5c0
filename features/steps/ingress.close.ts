import { After, Given, Then, When } from "@cucumber/cucumber";
import { SignalDelay } from "@filbertrelay/ingress";
import type { Clock } from "@filbertrelay/kernel";
import { renderResponse } from "@filbertrelay/platform/standins";
import fc from "fast-check";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { ensureBundle } from "../support/bundle.js";
import { HostProcessFixture } from "../support/hostprocess.js";
import { customerKey, waitFor } from "../support/ingress.js";
import { SlowCaller } from "../support/slowcaller.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface CloseWorld extends IngressWorld {
    closing: HostProcessFixture | undefined;
    caller: SlowCaller | undefined;
    answerBytes: number;
    stopMs: number;
}

const stopLimitSeconds = 4;
const bytesPerKb = 1_000;

const renderPost = (id: string, bodyBytes: number, body = "x".repeat(bodyBytes), route = "nonIdempotent"): string =>
    `POST /${route}/item HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer ${customerKey}\r\n` +
    `X-Filbertrelay-Deadline-Ms: 5000\r\nX-Filbertrelay-Attempt-Id: ${id}\r\nContent-Length: ${bodyBytes}\r\n\r\n${body}`;

const pause = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));

async function startProcess(world: CloseWorld): Promise<HostProcessFixture> {
    ensureBundle();
    world.closing = new HostProcessFixture();
    await world.closing.start(`memoryMb = 200\n[promises]\nstopLimitSeconds = ${stopLimitSeconds}\ndirectoryKeepSeconds = 0.3`);
    return world.closing;
}

Given("a host process that answers with {int} KB", { timeout: 60_000 }, async function(this: CloseWorld, answerKb: number) {
    this.answerBytes = answerKb * bytesPerKb;
    const { engine } = await startProcess(this);
    engine.behaviour = (received, { send }) => send(renderResponse(received, { body: "y".repeat(this.answerBytes) }));
});

Given("a host process that does not answer", { timeout: 60_000 }, async function(this: CloseWorld) {
    const { engine } = await startProcess(this);
    engine.behaviour = () => undefined;
});

Given("engines whose answers of {int} KB take {int} ms", function(this: CloseWorld, answerKb: number, delayMs: number) {
    this.answerBytes = answerKb * bytesPerKb;
    this.ingress.setBehaviours((received, { send }) =>
        void setTimeout(() => send(renderResponse(received, { body: "y".repeat(this.answerBytes) })), delayMs)
    );
});

/** What a caller sends behind its request from the stop on, one piece at a time. */
const pieces: Readonly<Record<string, (index: number) => string>> = {
    "nothing": () => "",
    "the head of a next request in pieces": index =>
        index === 0 ? "POST /nonIdempotent/item HTTP/1.1\r\n" : `X-Piece-${index}: a\r\n`,
    "a next request after the answer was sent": index => index === 40 ? renderPost("next", 5) : "",
};

When(
    /^a caller reads slowly and sends (.+) while the host is stopped$/,
    { timeout: 20_000 },
    async function(this: CloseWorld, what: string) {
        await stopWhileSending(this, pieces[what]!, 300);
    },
);

When("a caller sends on without end while the host is stopped", { timeout: 20_000 }, async function(this: CloseWorld) {
    await stopWhileSending(this, index => index === 0 ? renderPost("next", 90_000, "") : "x".repeat(100), 0, true);
});

async function stopWhileSending(
    world: CloseWorld,
    piece: (index: number) => string,
    readDelayMs: number,
    isHalfOpen = false,
): Promise<void> {
    const host = world.closing!;
    const caller = new SlowCaller(host.ports.callers, isHalfOpen);
    world.caller = caller;
    caller.send(renderPost("first", 5));
    await waitFor(() => Promise.resolve(host.engine.requests.length === 1));
    await pause(200);
    const startMs = performance.now();
    const stopped = host.terminate();
    for (let index = 0; !caller.isEnded && index < 400; index += 1) {
        caller.send(piece(index));
        if (performance.now() - startMs >= readDelayMs) {
            caller.read(10_000);
        }
        await pause(20);
    }
    await stopped;
    world.stopMs = performance.now() - startMs;
    await caller.readAll();
}

When("a caller sends 1 MB of a body beyond the limit before it reads", async function(this: CloseWorld) {
    this.caller = new SlowCaller(Number(this.ingress.callerAddress.split(":")[1]));
    this.caller.send(renderPost("large", 1_000_000, ""));
    for (let index = 0; index < 50; index += 1) {
        this.caller.send("x".repeat(20_000));
        await pause(30);
    }
    await this.caller.readAll();
});

When(
    "a caller sends {int} requests ahead of their answers and reads {int} ms later",
    async function(this: CloseWorld, count: number, delayMs: number) {
        this.caller = new SlowCaller(Number(this.ingress.callerAddress.split(":")[1]));
        this.caller.send(Array.from({ length: count }, (_, index) => renderPost(`ahead-${index}`, 5)).join(""));
        await pause(delayMs);
        await this.caller.readAll();
    },
);

When(
    "the host is asked to stop and a caller sends {int} requests ahead of their answers",
    { timeout: 20_000 },
    async function(this: CloseWorld, count: number) {
        const stopped = this.ingress.lifecycle.drain("test");
        this.caller = new SlowCaller(Number(this.ingress.callerAddress.split(":")[1]));
        this.caller.send(Array.from({ length: count }, (_, index) => renderPost(`ahead-${index}`, 5)).join(""));
        await this.caller.readAll();
        await stopped;
    },
);

When(
    "the host is asked to stop and a caller sends a request behind a {string} that has begun",
    { timeout: 20_000 },
    async function(this: CloseWorld, route: string) {
        const stopped = this.ingress.lifecycle.drain("test");
        this.caller = new SlowCaller(Number(this.ingress.callerAddress.split(":")[1]), true);
        this.caller.send(renderPost("first", 5, "order", route));
        await waitFor(() => Promise.resolve(this.ingress.received().length === 1));
        await pause(200);
        this.caller.send(renderPost("behind", 5));
        await stopped;
        this.caller.read(Infinity);
    },
);

When(
    "the host is asked to stop and a caller keeps its side of an idle connection open",
    { timeout: 20_000 },
    async function(this: CloseWorld) {
        this.caller = new SlowCaller(Number(this.ingress.callerAddress.split(":")[1]), true);
        this.caller.send(renderPost("first", 5));
        await waitFor(() => Promise.resolve(this.ingress.received().length === 1));
        await pause(100);
        void this.ingress.lifecycle.drain("test");
        await waitFor(async () => !await isAccepting(this.ingress.callerAddress));
    },
);

Then("it refuses all further requests as soon as it accepts no connections", function(this: CloseWorld) {
    assert.ok(this.ingress.lifecycle.isRefusing);
});

function isAccepting(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host!);
    return new Promise(resolve => {
        socket.once("connect", () => {
            socket.destroy();
            resolve(true);
        });
        socket.once("error", () => resolve(false));
    });
}

Then("the caller got the whole answer and the process ended within {int} s", function(this: CloseWorld, limitSeconds: number) {
    assert.deepEqual(this.caller!.answers(), [{ status: 200, bodyBytes: this.answerBytes }]);
    assert.ok(this.stopMs <= limitSeconds * 1_000, `${this.stopMs} ms`);
});

Then("the caller got {int} whole answers and the end of the connection", function(this: CloseWorld, count: number) {
    assert.deepEqual(
        this.caller!.answers(),
        Array.from({ length: count }, () => ({ status: 200, bodyBytes: this.answerBytes })),
    );
    assert.ok(this.caller!.isClean, "The connection was reset.");
});

Then("the caller got a {int} and the end of the connection", function(this: CloseWorld, status: number) {
    assert.deepEqual(this.caller!.answers().map(answer => answer.status), [status]);
    assert.ok(this.caller!.isClean, "The connection was reset.");
});

When(
    "a caller waits for an answer and the host is stopped while its process is held up for {int} ms",
    { timeout: 20_000 },
    async function(this: CloseWorld, heldUpMs: number) {
        const host = this.closing!;
        this.caller = new SlowCaller(host.ports.callers);
        this.caller.send(renderPost("first", 5, "order", "slowOrder"));
        await waitFor(() => Promise.resolve(host.engine.requests.length === 1));
        const startMs = performance.now();
        const stopped = host.terminate(heldUpMs);
        await this.caller.readAll();
        await stopped;
        this.stopMs = performance.now() - startMs;
    },
);

Then("the process ended within {int} s", function(this: CloseWorld, limitSeconds: number) {
    assert.ok(this.stopMs <= limitSeconds * 1_000, `${this.stopMs} ms`);
});

Then("the caller got the last event", function(this: CloseWorld) {
    assert.match(this.caller!.text(), /^id: 6$/m);
});

Then("the engines got {int} request", function(this: CloseWorld, count: number) {
    assert.equal(this.ingress.received().length, count);
});

/** Turns of this length may fall between two looks at the loop. */
const hiddenMs = 220;
// A failed property prints this seed with the counterexample.
const seed = 20_261_206;

Then(
    "in {int} seeded series of turns a long wait of a signal is bounded, and by at most {int} ms more",
    (numRuns: number, slackMs: number) => {
        const turns = fc.array(fc.integer({ min: 1, max: 3_000 }), { maxLength: 10 });
        fc.assert(
            fc.property(turns, fc.integer({ min: 0, max: 2_000 }), (busyMs, lastTurnMs) => {
                const timers = new Map<number, () => void>();
                let nowMs = 0;
                let count = 0;
                const clock: Clock = {
                    now: () => new Date(nowMs),
                    monotonicMs: () => nowMs,
                    sleep: () => Promise.resolve(),
                    after: (delayMs, callback) => {
                        const dueMs = nowMs + delayMs + count / 1_000_000;
                        count += 1;
                        timers.set(dueMs, callback);
                        return () => timers.delete(dueMs);
                    },
                    afterInput: () => assert.fail("A signal's delay judges nobody."),
                };
                // The loop's order: the timers that are due, then its input and signals.
                const runTimers = (): void =>
                    [...timers].filter(([dueMs]) => dueMs <= nowMs + 0.001).forEach(([dueMs, callback]) => {
                        timers.delete(dueMs);
                        callback();
                    });
                let immediates: (() => void)[] = [];
                const delay = new SignalDelay(clock, callback => void immediates.push(callback));
                for (const turnMs of busyMs) {
                    nowMs += turnMs;
                    runTimers();
                    immediates.forEach(callback => callback());
                    immediates = [];
                }
                nowMs += lastTurnMs;
                runTimers();
                const boundMs = delay.boundMs();
                assert.ok(boundMs >= (lastTurnMs > hiddenMs ? lastTurnMs : 0), `${boundMs} ms for a turn of ${lastTurnMs} ms`);
                assert.ok(boundMs <= lastTurnMs + slackMs, `${boundMs} ms for a turn of ${lastTurnMs} ms`);
            }),
            { numRuns, seed },
        );
    },
);

After(function(this: Partial<CloseWorld>) {
    this.caller?.close();
    this.closing?.stop();
});
