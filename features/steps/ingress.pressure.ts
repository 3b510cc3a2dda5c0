import { Given, Then, When } from "@cucumber/cucumber";
import type { IngressRoute } from "@filbertrelay/configuration";
import { ArrivalGate, pressureEvents, requestEvents } from "@filbertrelay/ingress";
import type { ActiveConfiguration } from "@filbertrelay/ingress";
import { brandAs, createVirtualClock } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import { createPlatformDialect } from "@filbertrelay/platform";
import * as policy from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { fullRatePerSecond, playLoad, roomFor } from "../support/pressurefleet.js";
import type { PlayedLoad, PlayedRequest } from "../support/pressurefleet.js";

const seed = 20_261_206;
const secondMs = 1_000;
/** Counted for each request. */
const requestMs = 6;
/** Processors of the host that plays alone. */
const hostStrength = 0.12;
/** Requests that come earlier or later than this from the start or end of the play aren't counted. */
const marginMs = 5_000;
/** A kind of request that is answered less than a quarter as often as all is given up. */
const givenUpRatio = 0.25;

const kinds = [
    { urgency: 1, objectiveMs: 500, waitMs: 4_000, share: 0.25 },
    { urgency: 0.5, objectiveMs: 1_000, waitMs: 5_000, share: 0.5 },
    { urgency: 0, objectiveMs: 2_000, waitMs: 6_000, share: 0.25 },
];

interface PressureWorld {
    load: PlayedLoad;
    requests: readonly PlayedRequest[];
    loadEndMs: number;
    candidates: readonly policy.ServingCandidate[];
    serving: readonly policy.ServingCandidate[];
    refusals: NonNullable<ReturnType<ArrivalGate["check"]>>[];
    lines: number[];
    errors: number;
    workMs: number;
    playedMs: number;
}

function play(world: PressureWorld, load: Omit<PlayedLoad, "kinds" | "seed">): void {
    world.load = { ...load, kinds, seed };
    world.requests = playLoad(world.load);
}

function listCounted({ load, requests }: PressureWorld): readonly PlayedRequest[] {
    return requests.filter(({ sentMs }) => sentMs >= marginMs && sentMs < load.durationMs - marginMs);
}

function isInTime({ kind, sentMs, answeredMs }: PlayedRequest): boolean {
    return answeredMs !== undefined && answeredMs - sentMs <= kind.objectiveMs;
}

function shareInTime(requests: readonly PlayedRequest[]): number {
    return requests.filter(isInTime).length / requests.length;
}

When(
    "{int} hosts get {float} times the load that they carry for {int} s",
    function(this: PressureWorld, hosts: number, factor: number, seconds: number) {
        play(this, { hosts, durationMs: seconds * secondMs, rate: () => hosts * fullRatePerSecond * factor });
    },
);

When(
    "{int} hosts that take all requests get {float} times the load that they carry for {int} s",
    function(this: PressureWorld, hosts: number, factor: number, seconds: number) {
        play(this, { hosts, durationMs: seconds * secondMs, rate: () => hosts * fullRatePerSecond * factor, isGated: false });
    },
);

When(
    "{int} hosts get {float} times the load that they carry for {int} s, and twice what they carry from {int} s to {int} s",
    function(this: PressureWorld, hosts: number, factor: number, seconds: number, from: number, to: number) {
        this.loadEndMs = to * secondMs;
        const isHigh = (atMs: number): boolean => atMs >= from * secondMs && atMs < this.loadEndMs;
        const rate = (atMs: number): number => hosts * fullRatePerSecond * (isHigh(atMs) ? 2 : factor);
        play(this, { hosts, durationMs: seconds * secondMs, rate });
    },
);

When(
    "{int} hosts get {float} times the load that they carry for {int} s, and only {int} of them are left from {int} s",
    function(this: PressureWorld, hosts: number, factor: number, seconds: number, left: number, from: number) {
        const listed = (atMs: number): number => atMs < from * secondMs ? hosts : left;
        play(this, { hosts, durationMs: seconds * secondMs, rate: () => hosts * fullRatePerSecond * factor, listed });
    },
);

When(
    "{int} hosts get {float} times the load that they carry for {int} s, and {int} callers come within {int} ms at {int} s",
    function(this: PressureWorld, hosts: number, factor: number, seconds: number, callers: number, spanMs: number, at: number) {
        this.loadEndMs = at * secondMs + spanMs;
        const isCrowd = (atMs: number): boolean => atMs >= at * secondMs && atMs < this.loadEndMs;
        const rate = (atMs: number): number => isCrowd(atMs) ? callers * secondMs / spanMs : hosts * fullRatePerSecond * factor;
        play(this, { hosts, durationMs: seconds * secondMs, rate });
    },
);

When(
    "{int} hosts get {float} times the load that they carry for {int} s from callers that don't wait",
    function(this: PressureWorld, hosts: number, factor: number, seconds: number) {
        const rate = (): number => hosts * fullRatePerSecond * factor;
        play(this, { hosts, durationMs: seconds * secondMs, rate, isImpatient: true });
    },
);

When(
    "{int} hosts get {float} times the load that they carry for {int} s, and one of them is {int} times slower from {int} s",
    function(this: PressureWorld, hosts: number, factor: number, seconds: number, slowness: number, from: number) {
        play(this, {
            hosts,
            durationMs: seconds * secondMs,
            rate: () => hosts * fullRatePerSecond * factor,
            slowness: (host, atMs) => host === 0 && atMs >= from * secondMs ? slowness : 1,
        });
    },
);

Then("no caller is refused", function(this: PressureWorld) {
    assert.equal(this.requests.filter(({ returnsMs }) => returnsMs.length > 0).length, 0);
});

Then("no caller that comes more than {int} ms after the load is refused", function(this: PressureWorld, ms: number) {
    const late = this.requests.filter(({ sentMs }) => sentMs > this.loadEndMs + ms);
    assert.equal(late.filter(({ returnsMs }) => returnsMs.length > 0).length, 0);
});

Then(
    "callers get at least {int} percent of the answers that the room allows within their objective",
    function(this: PressureWorld, percent: number) {
        const counted = listCounted(this);
        const room = roomFor(this.load, counted, marginMs, this.load.durationMs - marginMs);
        const answered = counted.filter(isInTime).length;
        assert.ok(answered >= room * percent / 100, `${answered} of ${Math.round(room)}`);
    },
);

Then(
    "callers get less than {int} percent of the answers that the room allows within their objective",
    function(this: PressureWorld, percent: number) {
        const counted = listCounted(this);
        const room = roomFor(this.load, counted, marginMs, this.load.durationMs - marginMs);
        assert.ok(counted.filter(isInTime).length < room * percent / 100);
    },
);

Then(
    "the more urgent a request is, the likelier it is answered, and no kind of request is given up",
    function(this: PressureWorld) {
        const counted = listCounted(this);
        const shares = kinds.map(kind => shareInTime(counted.filter(request => request.kind === kind)));
        assert.deepEqual(shares, shares.toSorted((left, right) => right - left));
        assert.ok(Math.min(...shares) >= shareInTime(counted) * givenUpRatio, shares.join(" "));
    },
);

Then("no fifth of the span in which refused callers come back has more than half of them", function(this: PressureWorld) {
    const returns = this.requests.flatMap(({ returnsMs }) => returnsMs).sort((left, right) => left - right);
    const fifthMs = (returns.at(-1)! - returns[0]!) / 5;
    const counts = returns.map(fromMs => returns.filter(atMs => atMs >= fromMs && atMs < fromMs + fifthMs).length);
    assert.ok(Math.max(...counts) <= returns.length / 2, `${Math.max(...counts)} of ${returns.length}`);
});

Then("no caller is asked to wait for more than a third of the time that it has left", function(this: PressureWorld) {
    const long = this.requests.filter(({ longestReturnShare }) => longestReturnShare > 1 / 3);
    assert.equal(long.length, 0);
});

Given(
    "{int} hosts of {float} processors in {int} failure domains, a quarter of which serve",
    function(this: PressureWorld, hosts: number, strength: number, domains: number) {
        this.candidates = Array.from({ length: hosts }, (_, index) => ({
            hostId: brandAs<HostId>(`edge-${index}`),
            failureDomain: brandAs<FailureDomainId>(`domain-${index % domains}`),
            strength,
        }));
        this.serving = this.candidates.slice(0, hosts / 4);
    },
);

When(
    "the serving hosts are full for {int} s and have counted a request each {int} ms",
    function(this: PressureWorld, seconds: number, intervalMs: number) {
        const pressedMs = seconds * secondMs;
        const countedMs = pressedMs / intervalMs * requestMs;
        const works = this.serving.map(({ strength }) => countedMs + policy.countPressedWork({ strength, pressedMs, countedMs }));
        const work = works.reduce((sum, workMs) => sum + workMs, 0) / pressedMs;
        this.serving = policy.chooseServingHosts(this.candidates, { work });
    },
);

Then("all hosts are in the serving set", function(this: PressureWorld) {
    assert.equal(this.serving.length, this.candidates.length);
});

When(
    "a host whose turns last {int} ms gets a request each {int} ms for {int} s",
    function(this: PressureWorld, turnMs: number, intervalMs: number, seconds: number) {
        const clock = createVirtualClock();
        Object.assign(this, { refusals: [], lines: [], workMs: 0, playedMs: seconds * secondMs });
        let endTurn: (() => void) | undefined;
        const gate = new ArrivalGate({
            clock,
            log: { write: ({ number }) => void this.lines.push(number) },
            dialect: createPlatformDialect(),
            configuration: createConfiguration(),
            metrics: {
                setPressure: () => undefined,
                recordPressureRefusals: () => undefined,
                recordInternalError: () => undefined,
            },
            draw: () => 0.5,
            onRefused: () => this.workMs += requestMs,
            onPressed: (pressedMs, requests) =>
                this.workMs += policy.countPressedWork({ strength: hostStrength, pressedMs, countedMs: requests * requestMs }),
            busyMs: () => clock.monotonicMs(),
            afterTurn: callback => endTurn = callback,
        });
        for (let atMs = 0; atMs < this.playedMs; atMs += intervalMs) {
            const refusal = gate.check({ hostname: "shop.example", target: "/a/", headers: () => [] }, clock.monotonicMs());
            if (refusal === undefined) {
                gate.recordReceived();
                gate.recordStart(intervalMs);
                this.workMs += requestMs;
            }
            else {
                this.refusals.push(refusal);
            }
            clock.advance(intervalMs);
            if (clock.monotonicMs() % turnMs === 0) {
                endTurn?.();
            }
        }
    },
);

When("an error occurs while a full host describes requests", function(this: PressureWorld) {
    const clock = createVirtualClock();
    Object.assign(this, { refusals: [], lines: [], errors: 0 });
    const gate = new ArrivalGate({
        clock,
        log: { write: ({ number }) => void this.lines.push(number) },
        dialect: createPlatformDialect(),
        configuration: createConfiguration(),
        metrics: {
            setPressure: () => undefined,
            recordPressureRefusals: () => undefined,
            recordInternalError: () => this.errors += 1,
        },
        draw: () => 0.5,
        onRefused: () => undefined,
        onPressed: () => undefined,
        busyMs: () => clock.monotonicMs(),
        afterTurn: () => undefined,
    });
    const describe = (): never => {
        throw new Error("A header can't be read.");
    };
    for (let count = 0; count < 20; count += 1) {
        const refusal = gate.check({ hostname: "shop.example", target: "/a/", headers: describe }, clock.monotonicMs());
        this.refusals.push(...(refusal === undefined ? [] : [refusal]));
        clock.advance(200);
    }
});

Then("the errors are counted and logged, and no request is refused", function(this: PressureWorld) {
    assert.ok(this.errors > 0);
    assert.equal(this.lines.filter(number => number === requestEvents.requestBroken.number).length, this.errors);
    assert.equal(this.refusals.length, 0);
});

Then("it refuses some of them with {int} and a Retry-After", function(this: PressureWorld, status: number) {
    assert.ok(this.refusals.length > 0);
    assert.ok(this.refusals.every(refusal => refusal.status === status && (refusal.retryAfterMs ?? 0) > 0));
});

Then("it logs once that it is full and at most {int} lines about its refusals", function(this: PressureWorld, count: number) {
    assert.equal(this.lines.filter(number => number === pressureEvents.pressureStarted.number).length, 1);
    assert.ok(this.lines.filter(number => number === pressureEvents.requestsShed.number).length <= count);
});

Then("its callers' work is counted as at least its whole processor", function(this: PressureWorld) {
    // The load counts as lasting after the first windows.
    assert.ok(this.workMs >= hostStrength * (this.playedMs - secondMs), `${this.workMs} ms`);
});

function createConfiguration(): { current(): ActiveConfiguration; } {
    const route: IngressRoute = {
        name: "a",
        hostname: "shop.example",
        pathPrefix: "/a/",
        kind: "idempotent",
        targets: [{ service: "orders", weight: 1 }],
        timeLimitMs: 2_000,
        objectiveMs: 500,
        priority: 1,
        maximumAttempts: 2,
        isPublic: true,
        isResumable: false,
    };
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const configuration = { version: 1, routes: [route], services: [], limits };
    const routes = policy.createRouteTable([route]);
    return { current: () => ({ configuration, routes, services: new Map(), customersByKey: undefined }) };
}
