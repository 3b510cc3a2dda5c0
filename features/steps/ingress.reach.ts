import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { findCut, playReachDay } from "../support/reachsimulation.js";
import type { CutKind, LinkCut, ReachDay, ReachDayResult } from "../support/reachsimulation.js";

interface ReachWorld {
    days: readonly { readonly day: ReachDay; readonly result: ReachDayResult; }[];
}

// A run by hand may choose another seed, and more days by a factor.
const seed = Number(process.env["REACH_SEED"] ?? 20_261_206);
const scale = Number(process.env["REACH_SCALE"] ?? 1);
const cutMs = 1_500;
/** Pause between the probes of a service in a failure domain. */
const probePauseMs = 1_000;

const times = (from: number, to: number): fc.Arbitrary<number> =>
    fc.integer({ min: from / 50, max: to / 50 }).map(steps => steps * 50);
const kinds = fc.constantFrom<CutKind>("hang", "reset", "refuse");
const brokenKinds = fc.constantFrom<CutKind>("hang", "reset");

const calmDays = fc.record({
    seed: fc.nat(1_000_000),
    hosts: fc.integer({ min: 3, max: 5 }),
    domains: fc.integer({ min: 1, max: 3 }),
    services: fc.integer({ min: 1, max: 3 }),
    endpointsPerGroup: fc.integer({ min: 2, max: 3 }),
    requestsPerSecond: fc.constantFrom(10, 20, 40),
    durationMs: fc.constant(8_500),
    slowShare: fc.constantFrom(0, 0.1, 0.3),
    lossShare: fc.constantFrom(0, 0.1),
    cuts: fc.constant([] as readonly LinkCut[]),
    crashes: fc.constant([] as ReachDay["crashes"]),
    silences: fc.constant([] as ReachDay["silences"]),
    freezes: fc.constant([] as ReachDay["freezes"]),
});

function firstHosts(share: number, hosts: number): readonly number[] {
    return Array.from({ length: Math.max(1, Math.min(hosts - 1, Math.floor(hosts * share))) }, (_, index) => index);
}

function allHosts({ hosts }: ReachDay): readonly number[] {
    return Array.from({ length: hosts }, (_, index) => index);
}

const cutTimes = { share: fc.constantFrom(0.2, 0.6), kind: kinds, toMs: times(cutMs + 300, 5_500) };

const cutDays = fc.record({ day: calmDays, ...cutTimes }).map(({ day, share, kind, toMs }): ReachDay => ({
    ...day,
    cuts: [{ hosts: firstHosts(share, day.hosts), kind, fromMs: cutMs, toMs }],
}));

const partDays = fc
    .record({ day: calmDays, ...cutTimes, isDomain: fc.boolean() })
    .filter(({ day, isDomain }) => (isDomain ? day.domains : day.services) >= 2)
    .map(({ day, share, kind, toMs, isDomain }): ReachDay => ({
        ...day,
        cuts: [{
            hosts: firstHosts(share, day.hosts),
            kind,
            fromMs: cutMs,
            toMs,
            ...(isDomain ? { domain: 0 } : { service: 0 }),
        }],
    }));

const troubles = {
    crashes: fc.array(fc.record({ endpoint: fc.nat(26), atMs: times(500, 5_000), isHost: fc.boolean() }), { maxLength: 4 }),
    silences: fc.array(fc.record({ service: fc.nat(2), fromMs: times(500, 5_000) }), { maxLength: 2 }),
    freezes: fc.array(fc.record({ host: fc.nat(4), fromMs: times(500, 4_000), forMs: times(200, 3_000) }), { maxLength: 3 }),
};

/** Adds crashes, silences of 1.3 s and freezes to a day. */
function addTroubles(days: fc.Arbitrary<ReachDay>): fc.Arbitrary<ReachDay> {
    return fc.record({ day: days, ...troubles }).map(({ day, crashes, silences, freezes }) => ({
        ...day,
        crashes: crashes.map(crash => ({
            ...crash,
            endpoint: crash.endpoint % (day.domains * day.services * day.endpointsPerGroup),
        })),
        silences: silences.map(({ service, fromMs }) => ({ service: service % day.services, fromMs, toMs: fromMs + 1_300 })),
        freezes: freezes.map(({ host, fromMs, forMs }) => ({ host: host % day.hosts, fromMs, toMs: fromMs + forMs })),
    }));
}

const lostDays = fc.record({ day: calmDays, kind: brokenKinds }).map(({ day, kind }): ReachDay => ({
    ...day,
    cuts: [{ hosts: allHosts(day), kind, fromMs: cutMs, toMs: 5_000 }],
}));

function staggeredDays(withinMs: number): fc.Arbitrary<ReachDay> {
    return fc
        .record({ day: calmDays, kind: brokenKinds, offsets: fc.array(times(0, withinMs), { minLength: 5, maxLength: 5 }) })
        .map(({ day, kind, offsets }) => ({
            ...day,
            durationMs: 13_500,
            cuts: allHosts(day).map(host => ({ hosts: [host], kind, fromMs: cutMs + offsets[host]!, toMs: 9_500 })),
        }));
}

function flappingDays(forMs: number, everyMs: number): fc.Arbitrary<ReachDay> {
    return fc
        .record({ day: calmDays, share: cutTimes.share, kind: kinds, count: fc.integer({ min: 2, max: 4 }) })
        .map(({ day, share, kind, count }) => ({
            ...day,
            durationMs: 15_500,
            cuts: Array.from({ length: count }, (_, index) => ({
                hosts: firstHosts(share, day.hosts),
                kind,
                fromMs: cutMs + index * everyMs,
                toMs: cutMs + index * everyMs + forMs,
            })),
        }));
}

function play(world: ReachWorld, days: fc.Arbitrary<ReachDay>, runs: number): void {
    world.days = fc.sample(days, { seed, numRuns: runs * scale }).map(day => ({ day, result: playReachDay(day) }));
}

/** Checks that nothing of a kind was seen on any day; names the first day on which it was. */
function assertNone<T>(world: ReachWorld, find: (result: ReachDayResult, day: ReachDay) => readonly T[]): void {
    const failed = world.days
        .map(({ day, result }) => ({ day, found: find(result, day) }))
        .filter(({ found }) => found.length > 0);
    const [first] = failed;
    const details = first && `${JSON.stringify(first.found.slice(0, 3))} on ${JSON.stringify(first.day)}`;
    assert.equal(failed.length, 0, `${failed.length} of ${world.days.length} days, first ${details}`);
}

function endMs({ cuts }: ReachDay): number {
    return Math.max(...cuts.map(({ toMs }) => toMs));
}

When("hosts are cut off from all endpoints in {int} seeded days", function(this: ReachWorld, runs: number) {
    play(this, cutDays, runs);
});

When("hosts are cut off from a failure domain or a service in {int} seeded days", function(this: ReachWorld, runs: number) {
    play(this, partDays, runs);
});

When(
    "endpoints crash and fall silent, prompts are slow and hosts freeze in {int} seeded days",
    function(this: ReachWorld, runs: number) {
        play(this, addTroubles(calmDays), runs);
    },
);

When("all hosts are cut off at the same time in {int} seeded days", function(this: ReachWorld, runs: number) {
    play(this, lostDays, runs);
});

When("all hosts are cut off within {int} ms in {int} seeded days", function(this: ReachWorld, withinMs: number, runs: number) {
    play(this, staggeredDays(withinMs), runs);
});

When(
    "links are cut for {int} ms every {int} ms in {int} seeded days",
    function(this: ReachWorld, forMs: number, everyMs: number, runs: number) {
        play(this, flappingDays(forMs, everyMs), runs);
    },
);

When(
    "hosts are cut off while endpoints crash and fall silent and hosts freeze in {int} seeded days",
    function(this: ReachWorld, runs: number) {
        play(this, addTroubles(fc.oneof(cutDays, partDays)), runs);
    },
);

/** Requests that were sent into a cut though it had lasted longer than `graceMs`, or refused connections for so long. */
function sendsIntoCut({ sends }: ReachDayResult, day: ReachDay, graceMs: number): ReachDayResult["sends"] {
    const blocked = sends.filter(({ host, endpoint, way, atMs }) => {
        const cut = findCut(day, host, endpoint, atMs);
        return cut !== undefined && (cut.kind === "refuse" ? way === "direct" : way !== "relay");
    });
    return blocked.filter(send => {
        const cut = findCut(day, send.host, send.endpoint, send.atMs)!;
        const firstMs = cut.kind === "refuse" ? blocked.find(({ host }) => host === send.host)!.atMs : cut.fromMs;
        return send.atMs > firstMs + graceMs;
    });
}

Then(
    "none sends to an endpoint by itself from {int} ms after the cut, and none by another host from {int} ms after its end",
    function(this: ReachWorld, graceMs: number, returnMs: number) {
        assertNone(this, (result, day) => sendsIntoCut(result, day, graceMs));
        assertNone(this, ({ detours }, day) => detours.filter(({ atMs }) => atMs > endMs(day) + returnMs));
        assertNone(this, ({ stranded }, day) => stranded.filter(({ atMs }) => atMs > endMs(day) + returnMs));
    },
);

Then("each says that it is cut off within {int} ms", function(this: ReachWorld, withinMs: number) {
    assertNone(this, ({ stranded }, day) => {
        const [cut] = day.cuts;
        const isLong = cut!.kind !== "refuse" && cut!.toMs > cut!.fromMs + withinMs;
        return isLong ?
            cut!.hosts.filter(host => !stranded.some(seen => seen.host === host && seen.atMs <= cut!.fromMs + withinMs)) :
            [];
    });
});

Then("none says that it is cut off", function(this: ReachWorld) {
    assertNone(this, ({ stranded }) => stranded);
});

Then("every way is direct and no host says that it is cut off", function(this: ReachWorld) {
    assertNone(this, ({ detours }) => detours);
    assertNone(this, ({ stranded }) => stranded);
});

Then("no request is sent through another host", function(this: ReachWorld) {
    assertNone(this, ({ sends }, day) => sends.filter(({ way, atMs }) => way === "relay" && atMs < endMs(day)));
});

Then("no request is sent through another host from {int} ms after the last cut", function(this: ReachWorld, afterMs: number) {
    assertNone(this, ({ sends }, day) => {
        const fromMs = Math.max(...day.cuts.map(cut => cut.fromMs)) + afterMs;
        return sends.filter(({ way, atMs }) => way === "relay" && atMs > fromMs && atMs < endMs(day));
    });
});

Then("no way leads through another host from {int} ms after the end", function(this: ReachWorld, afterMs: number) {
    assertNone(this, ({ detours }, day) => detours.filter(({ atMs }) => atMs > endMs(day) + afterMs));
});

Then("no host says that it is cut off from {int} ms after the end", function(this: ReachWorld, afterMs: number) {
    assertNone(this, ({ stranded }, day) => stranded.filter(({ atMs }) => atMs > endMs(day) + afterMs));
});

Then(
    "no sound host sends through another one, and no way leads through another host from {int} ms after the end",
    function(this: ReachWorld, afterMs: number) {
        assertNone(this, ({ detours }, day) => detours.filter(({ host }) => !day.cuts.some(({ hosts }) => hosts.includes(host))));
        assertNone(this, ({ detours }, day) =>
            detours.filter(({ host, endpoint, atMs }) => {
                // A host that was frozen learns of the end when it wakes, and probes go to endpoints that are down too.
                const wokeMs = day.freezes.filter(freeze => freeze.host === host && freeze.fromMs <= endMs(day) + afterMs);
                const fromMs = Math.max(endMs(day), ...wokeMs.map(({ toMs }) => toMs)) + afterMs;
                return !isDown(day, endpoint) && atMs > fromMs + probePauseMs * countDownBeside(day, endpoint);
            }));
    },
);

function isDown({ crashes }: ReachDay, endpoint: number): boolean {
    return crashes.some(crash => crash.endpoint === endpoint);
}

/** Endpoints of the same service and failure domain that crash on a day. */
function countDownBeside(day: ReachDay, endpoint: number): number {
    const first = endpoint - endpoint % day.endpointsPerGroup;
    return Array.from({ length: day.endpointsPerGroup }, (_, index) => first + index).filter(other => isDown(day, other)).length;
}
