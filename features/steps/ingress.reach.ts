import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { findCut, listEndpoints, playReachDay } from "../support/reachsimulation.js";
import type { CutKind, LinkCut, ReachDay, ReachDayResult } from "../support/reachsimulation.js";

interface ReachWorld {
    runs: number;
    days: fc.Arbitrary<ReachDay>;
}

// A failed property prints this seed with the counterexample.
const seed = Number(process.env["REACH_SEED"] ?? 20_261_206);
const cutMs = 1_500;

const times = (from: number, to: number): fc.Arbitrary<number> =>
    fc.integer({ min: from / 50, max: to / 50 }).map(steps => steps * 50);
const kinds = fc.constantFrom<CutKind>("hang", "reset", "refuse");

const calmDays = fc.record({
    seed: fc.nat(1_000_000),
    hosts: fc.integer({ min: 3, max: 6 }),
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

const cutDays: fc.Arbitrary<ReachDay> = fc
    .record({ day: calmDays, share: fc.constantFrom(0.2, 0.6), kind: kinds, endMs: times(cutMs + 300, 5_500) })
    .map(({ day, share, kind, endMs }) => ({
        ...day,
        cuts: [{ hosts: firstHosts(share, day.hosts), kind, fromMs: cutMs, toMs: endMs }],
    }));

const partDays: fc.Arbitrary<ReachDay> = fc
    .record({
        day: calmDays,
        share: fc.constantFrom(0.2, 0.6),
        kind: kinds,
        endMs: times(cutMs + 300, 5_500),
        isDomain: fc.boolean(),
    })
    .filter(({ day, isDomain }) => (isDomain ? day.domains : day.services) >= 2)
    .map(({ day, share, kind, endMs, isDomain }) => ({
        ...day,
        cuts: [{
            hosts: firstHosts(share, day.hosts),
            kind,
            fromMs: cutMs,
            toMs: endMs,
            ...(isDomain ? { domain: 0 } : { service: 0 }),
        }],
    }));

const soundDays: fc.Arbitrary<ReachDay> = fc
    .record({
        day: calmDays,
        crashes: fc.array(fc.record({ endpoint: fc.nat(27), atMs: times(500, 5_000), isHost: fc.boolean() }), { maxLength: 4 }),
        silences: fc.array(fc.record({ service: fc.nat(2), fromMs: times(500, 5_000) }), { maxLength: 2 }),
        freezes: fc.array(fc.record({ host: fc.nat(5), fromMs: times(500, 4_000), forMs: times(200, 3_000) }), { maxLength: 3 }),
    })
    .map(({ day, crashes, silences, freezes }) => ({
        ...day,
        crashes: crashes.map(crash => ({
            ...crash,
            endpoint: crash.endpoint % (day.domains * day.services * day.endpointsPerGroup),
        })),
        silences: silences.map(silence => ({
            service: silence.service % day.services,
            fromMs: silence.fromMs,
            toMs: silence.fromMs + 1_300,
        })),
        freezes: freezes.map(({ host, fromMs, forMs }) => ({ host: host % day.hosts, fromMs, toMs: fromMs + forMs })),
    }));

const lostDays: fc.Arbitrary<ReachDay> = fc.record({ day: calmDays, kind: fc.constantFrom<CutKind>("hang", "reset") }).map((
    { day, kind },
) => ({
    ...day,
    cuts: [{ hosts: Array.from({ length: day.hosts }, (_, index) => index), kind, fromMs: cutMs, toMs: 5_000 }],
}));

function check(runs: number, days: fc.Arbitrary<ReachDay>, verify: (result: ReachDayResult, day: ReachDay) => void): void {
    fc.assert(fc.property(days, day => verify(playReachDay(day), day)), { seed, numRuns: runs });
}

When("hosts are cut off from all endpoints in {int} seeded days", function(this: ReachWorld, runs: number) {
    Object.assign(this, { runs, days: cutDays });
});

When("hosts are cut off from a failure domain or a service in {int} seeded days", function(this: ReachWorld, runs: number) {
    Object.assign(this, { runs, days: partDays });
});

When(
    "endpoints crash and fall silent, prompts are slow and hosts freeze in {int} seeded days",
    function(this: ReachWorld, runs: number) {
        Object.assign(this, { runs, days: soundDays });
    },
);

When("all hosts are cut off at the same time in {int} seeded days", function(this: ReachWorld, runs: number) {
    Object.assign(this, { runs, days: lostDays });
});

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
    /^none sends to (?:an|a cut) endpoint by itself from (\d+) ms after the cut, and none by another host from (\d+) ms after its end$/,
    function(this: ReachWorld, graceMs: string, returnMs: string) {
        check(this.runs, this.days, (result, day) => {
            assert.deepEqual(sendsIntoCut(result, day, Number(graceMs)), []);
            const backMs = Math.max(...day.cuts.map(({ toMs }) => toMs)) + Number(returnMs);
            assert.deepEqual(result.detours.filter(({ atMs }) => atMs > backMs), []);
            assert.deepEqual(result.stranded.filter(({ atMs }) => atMs > backMs), []);
        });
    },
);

Then("none says that it is cut off", function(this: ReachWorld) {
    check(this.runs, this.days, result => assert.deepEqual(result.stranded, []));
});

Then("every way is direct and no host says that it is cut off", function(this: ReachWorld) {
    check(this.runs, this.days, result => {
        assert.deepEqual(result.detours, []);
        assert.deepEqual(result.stranded, []);
    });
});

Then("no request is sent through another host", function(this: ReachWorld) {
    check(this.runs, this.days, ({ sends }, day) => {
        const endMs = Math.max(...day.cuts.map(({ toMs }) => toMs));
        assert.deepEqual(sends.filter(({ way, atMs }) => way === "relay" && atMs < endMs), []);
    });
});

void listEndpoints;
