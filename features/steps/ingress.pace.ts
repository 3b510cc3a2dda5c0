import { Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy/ingress";
import assert from "node:assert/strict";
import { playPaceDay } from "../support/pacesimulation.js";
import type { PaceDay, PaceResult } from "../support/pacesimulation.js";

interface PaceWorld {
    paced: readonly PaceResult[];
    unpaced: readonly PaceResult[];
    reports: readonly (policy.PaceReport | undefined)[];
    paces: policy.EndpointPaces;
    counts: ReadonlyMap<string, number>;
}

/** Seeds of the days that are played. */
const seeds = [1, 2, 3, 4];
const endpoint: policy.PacedEndpoint = { endpointId: brandAs<EndpointId>("engine"), startedAtMs: 1, capacity: 16 };
const early: policy.TimedAnswer = { elapsedMs: 100, objectiveMs: 800 };
const late: policy.TimedAnswer = { elapsedMs: 900, objectiveMs: 800 };

function play(world: PaceWorld, day: Omit<PaceDay, "isPaced" | "seed">): void {
    world.paced = seeds.map(seed => playPaceDay({ ...day, isPaced: true, seed }));
    world.unpaced = seeds.map(seed => playPaceDay({ ...day, isPaced: false, seed }));
}

function sum(results: readonly PaceResult[], count: (result: PaceResult) => number): number {
    return results.reduce((total, result) => total + count(result), 0);
}

function createPaces(name: string): policy.EndpointPaces {
    const hostId = brandAs<HostId>(name);
    return policy.createEndpointPaces({ hostId, listHosts: () => [hostId], onChange: () => undefined });
}

function windowOf(paces: policy.EndpointPaces, nowMs: number): number | undefined {
    return Object.values(paces.report(nowMs) ?? {})[0]?.window;
}

When(
    "{int} hosts with news of {int} ms share {int} engines at {int} percent load and {int} start(s), first {int} times slower",
    function(this: PaceWorld, hosts: number, exchangeMs: number, warm: number, percent: number, starting: number, cold: number) {
        play(this, { hosts, exchangeMs, warmEngines: warm, startingEngines: starting, load: percent / 100, coldFactor: cold });
    },
);

When(
    "{int} hosts with news of {int} ms share {int} engines at {int} percent load and 1 starts for {int} ms",
    function(this: PaceWorld, hosts: number, exchangeMs: number, warm: number, percent: number, livesMs: number) {
        play(this, { hosts, exchangeMs, warmEngines: warm, startingEngines: 1, load: percent / 100, coldFactor: 3, livesMs });
    },
);

Then(
    "with slow start at most half as many of its answers are late as without, and no more anywhere",
    function(this: PaceWorld) {
        assert.ok(sum(this.unpaced, ({ late: count }) => count) > 0);
        assert.ok(sum(this.paced, ({ late: count }) => count) <= sum(this.unpaced, ({ late: count }) => count) / 2);
        assert.ok(sum(this.paced, day => day.lateAnywhere) <= sum(this.unpaced, day => day.lateAnywhere));
    },
);

Then(
    "it has at most {int} requests in its first second, and half of the usual share within {int} s",
    function(this: PaceWorld, most: number, seconds: number) {
        this.paced.forEach(day => {
            assert.ok(day.mostAtStart <= most, `${day.mostAtStart} requests`);
            assert.ok(day.halfShareMs <= seconds * 1_000, `${day.halfShareMs} ms`);
        });
    },
);

Then("with slow start at most half as many requests are lost as without", function(this: PaceWorld) {
    assert.ok(sum(this.paced, ({ lost }) => lost) <= sum(this.unpaced, ({ lost }) => lost) / 2);
});

Then(
    "with slow start the engines that start answer at least {int} percent of the requests that they answer without",
    function(this: PaceWorld, percent: number) {
        const answered = sum(this.paced, day => day.answered);
        const unpaced = sum(this.unpaced, day => day.answered);
        assert.ok(unpaced > 0 && answered >= unpaced * percent / 100, `${answered} of ${unpaced}`);
    },
);

When(
    "two hosts learn of late and early answers of an endpoint and exchange their reports in either order",
    function(this: PaceWorld) {
        const first = createPaces("first");
        const second = createPaces("second");
        [first, second].forEach(paces => paces.start(endpoint, 0));
        first.recordAnswer(endpoint, early, 1_000);
        first.recordAnswer(endpoint, early, 1_001);
        second.recordAnswer(endpoint, late, 1_900);
        second.recordAnswer(endpoint, early, 1_950);
        const reports = [first.report(2_000), second.report(2_000)];
        first.merge(reports[1] ?? {}, 2_000, 0);
        second.merge(reports[0] ?? {}, 2_000, 0);
        this.reports = [first.report(2_000), second.report(2_000)];
    },
);

Then("both have the same window", function(this: PaceWorld) {
    assert.deepEqual(this.reports[0], this.reports[1]);
    assert.notEqual(this.reports[0], undefined);
});

Given("a host whose endpoint of capacity 16 starts", function(this: PaceWorld) {
    this.paces = createPaces("host");
    this.paces.start(endpoint, 0);
});

Then(
    "its window is {int} at first, {int} after 2 early answers, {int} after a late one, {int} after a failure and open {int} s later",
    function(this: PaceWorld, first: number, grown: number, shrunk: number, restarted: number, openSeconds: number) {
        assert.equal(windowOf(this.paces, 0), first);
        [1, 2].forEach(nowMs => this.paces.recordAnswer(endpoint, early, nowMs));
        assert.equal(windowOf(this.paces, 2), grown);
        this.paces.recordAnswer(endpoint, late, 500);
        assert.equal(windowOf(this.paces, 500), shrunk);
        this.paces.recordSetback(endpoint, 1_000);
        assert.equal(windowOf(this.paces, 1_000), restarted);
        assert.notEqual(this.paces.allowance(endpoint, 1, 1_500), Infinity);
        assert.equal(this.paces.allowance(endpoint, 1, 1_000 + openSeconds * 1_000), Infinity);
    },
);

When(
    "{int} hosts place a request each on {int} idle engines without news of each other",
    function(this: PaceWorld, hosts: number, engines: number) {
        const failureDomain = brandAs<FailureDomainId>("domain");
        const candidates = Array.from({ length: engines }, (_, index) => ({
            endpointId: brandAs<EndpointId>(`engine-${index}`),
            failureDomain,
            capacity: 16,
            isQuarantined: false,
            observe: () => ({
                load: { running: index % 3, ownRunning: 0, tokensAhead: 0, waitingTokens: 0 },
                cachedTokens: 0,
                failureRatio: 0,
                allowance: Infinity,
            }),
        }));
        const counts = new Map<string, number>();
        for (let host = 0; host < hosts; host += 1) {
            const choice = policy.chooseLowestCostEndpoint(candidates, {
                parts: [],
                promptTokens: 2_000,
                requestId: `request-${host}`,
                tried: new Set(),
                homeDomain: failureDomain,
                tokenMs: 0.02,
                slotHoldMs: 700,
                objectiveMs: 800,
                isRepeatable: true,
            });
            const id = choice?.endpointId ?? "none";
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
        this.counts = counts;
    },
);

Then("no engine gets more than {int} of them", function(this: PaceWorld, most: number) {
    assert.equal(this.counts.has("none"), false);
    assert.ok(Math.max(...this.counts.values()) <= most, JSON.stringify([...this.counts]));
});
