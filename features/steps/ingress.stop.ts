import { Given, Then, When } from "@cucumber/cucumber";
import { renderEvent, renderResponse, renderStreamHead, streamEnd } from "@filbertrelay/platform/standins";
import { endsBeforeStop } from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";
import { waitFor } from "../support/ingress.js";
import type { CallerResponse } from "../support/ingress.js";
import { replacementSchedules, simulateRequest } from "../support/replacementsimulation.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface StopWorld extends IngressWorld {
    stopped: Promise<void>;
    answer: CallerResponse;
    /** The answer to the request with which a caller comes back. */
    second: CallerResponse;
}

/** The body of a failure that an endpoint has answered. */
const endpointBody = "the endpoint's own words";

// A failed property prints this seed with the counterexample.
const seed = 20_261_205;

Given("engines that stream {int} events", function(this: StopWorld, count: number) {
    this.ingress.setBehaviours((received, { send }) =>
        send(
            renderStreamHead(received) + Array.from({ length: count }, (_, index) => renderEvent(index + 1)).join("") + streamEnd,
        )
    );
});

Given(
    "engines that stream {int} events, pause for {int} ms and stream {int} more",
    function(this: StopWorld, before: number, pauseMs: number, after: number) {
        const events = (from: number, count: number): string =>
            Array.from({ length: count }, (_, index) => renderEvent(from + index)).join("");
        this.ingress.setBehaviours((received, { send }) => {
            send(renderStreamHead(received) + events(1, before));
            setTimeout(() => send(events(before + 1, after) + streamEnd), pauseMs);
        });
    },
);

Given("engines that answer {int} after {int} ms", function(this: StopWorld, status: number, delayMs: number) {
    this.ingress.setBehaviours((received, { send }) =>
        void setTimeout(() => send(renderResponse(received, { status, body: endpointBody })), delayMs)
    );
});

Given("engines that keep idle connections for {int} s", function(this: StopWorld, seconds: number) {
    this.ingress.setBehaviours((received, { send }) =>
        void setTimeout(() => send(renderResponse(received).replace("\r\n", `\r\nKeep-Alive: timeout=${seconds}\r\n`)), 100)
    );
});

Given("callers have had {int} {string} responses at once", async function(this: StopWorld, count: number, route: string) {
    const answers = await Promise.all(Array.from({ length: count }, () => this.ingress.send(route)));
    answers.forEach(({ status }) => assert.equal(status, 200));
});

Given("engines that do not answer", function(this: StopWorld) {
    this.ingress.setBehaviours(() => undefined);
});

Given("a caller has had {int} {string} responses", async function(this: StopWorld, count: number, route: string) {
    for (let sent = 0; sent < count; sent += 1) {
        assert.equal((await this.ingress.send(route)).status, 200);
    }
});

When(
    "the host is asked to stop and a caller sends a {string} request {int} ms later",
    async function(this: StopWorld, route: string, delayMs: number) {
        this.ingress.engines.forEach(engine => engine.requests.splice(0));
        this.stopped = this.ingress.lifecycle.drain("test");
        await new Promise(resolve => setTimeout(resolve, delayMs));
        this.answer = await this.ingress.send(route);
        await this.stopped;
    },
);

When("a caller sends a {string} request and the host is asked to stop", async function(this: StopWorld, route: string) {
    const pending = this.ingress.send(route);
    await waitFor(() => Promise.resolve(this.ingress.received().length === 1));
    this.stopped = this.ingress.lifecycle.drain("test");
    this.answer = await pending;
});

When("a caller takes up its {string} while it goes on and the host stops", async function(this: StopWorld, route: string) {
    const pending = this.ingress.send(route, { requestId: "first" });
    await waitFor(() => Promise.resolve(this.ingress.received().length === 1));
    this.stopped = this.ingress.lifecycle.drain("test");
    await new Promise(resolve => setTimeout(resolve, 100));
    this.second = await this.ingress.send(route, { headers: { "Resumes": "first", "Last-Event-Id": "2" } });
    this.answer = await pending;
});

Then("the caller's second request is answered with {int}", function(this: StopWorld, status: number) {
    assert.equal(this.second.status, status);
});

When("a caller sends a {string} request {int} ms later", async function(this: StopWorld, route: string, delayMs: number) {
    await new Promise(resolve => setTimeout(resolve, delayMs));
    this.answer = await this.ingress.send(route);
});

Then("it is answered with {int} as not run within {int} ms and no engine got it", function(
    this: StopWorld,
    status: number,
    limitMs: number,
) {
    assert.equal(this.answer.status, status);
    assert.match(this.answer.body, /"executed":"no"/);
    assert.ok(this.answer.elapsedMs <= limitMs, `${this.answer.elapsedMs} ms`);
    assert.equal(this.ingress.received().length, 0);
});

Then("it is answered with {int}", function(this: StopWorld, status: number) {
    assert.equal(this.answer.status, status);
    assert.ok(this.answer.isComplete);
});

Then("its body has the events {int} to {int}", function(this: StopWorld, first: number, last: number) {
    const ids = [...this.answer.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    assert.deepEqual(ids, Array.from({ length: last - first + 1 }, (_, index) => first + index));
});

Then("its body is that of the endpoint", function(this: StopWorld) {
    assert.equal(this.answer.body, endpointBody);
});

Then("the engines have {int} open connections", function(this: StopWorld, count: number) {
    assert.equal(this.ingress.engines.reduce((sum, { connections }) => sum + connections, 0), count);
});

Then("it is answered with {int} before the stop ends", async function(this: StopWorld, status: number) {
    assert.equal(this.answer.status, status);
    assert.ok(this.answer.isComplete);
    assert.match(this.answer.body, /"executed":"unknown"/);
    await this.stopped;
});

const stops = fc.record({
    stopLeftMs: fc.integer({ min: -500, max: 10_000 }),
    timeLimitLeftMs: fc.integer({ min: 1, max: 15_000 }),
    expectedStartMs: fc.integer({ min: 0, max: 2_000 }),
    longDurationMs: fc.option(fc.integer({ min: 1, max: 8_000 }), { nil: undefined }),
});

Then(
    "in {int} random stops no request that may not be repeated is admitted with a time limit beyond the stop",
    (numRuns: number) => {
        fc.assert(
            fc.property(stops, stop => {
                const isAdmitted = endsBeforeStop({ ...stop, isRepeatable: false });
                assert.equal(isAdmitted, stop.timeLimitLeftMs <= stop.stopLeftMs);
            }),
            { numRuns, seed },
        );
    },
);

Then("a repeatable one is admitted if it probably ends in time, including its wait for an endpoint", () => {
    fc.assert(
        fc.property(stops, stop => {
            const isAdmitted = endsBeforeStop({ ...stop, isRepeatable: true });
            const likelyMs = Math.min(stop.timeLimitLeftMs, stop.expectedStartMs + (stop.longDurationMs ?? Infinity));
            assert.ok(!isAdmitted || likelyMs <= stop.stopLeftMs);
            assert.ok(isAdmitted || stop.longDurationMs === undefined || likelyMs * 1.2 > stop.stopLeftMs);
        }),
        { seed },
    );
});

Then("in {int} random requests none is cut while its endpoint is sound", (numRuns: number) => {
    fc.assert(
        fc.property(replacementSchedules, schedule => {
            assert.equal(simulateRequest(schedule).isCut, false);
        }),
        { numRuns, seed },
    );
});

Then("a silent endpoint is replaced whenever another one may take the request", () => {
    fc.assert(
        fc.property(replacementSchedules, schedule => {
            const { silences } = simulateRequest(schedule);
            silences.forEach(({ mayReplace, isReplaced }) => assert.equal(isReplaced, mayReplace));
        }),
        { seed },
    );
});
