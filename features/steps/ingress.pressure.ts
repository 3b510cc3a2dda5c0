import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { fullRatePerSecond, playLoad, roomFor } from "../support/pressurefleet.js";
import type { PlayedLoad, PlayedRequest } from "../support/pressurefleet.js";

const seed = 20_261_206;
const secondMs = 1_000;
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
