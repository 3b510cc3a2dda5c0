import { After, Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createRandom } from "../support/random.js";
import { SimulatedFleet } from "../support/simulatedfleet.js";
import type { SimulatedFleetOptions, SimulatedHost } from "../support/simulatedfleet.js";
import { limit, tolerance } from "./ingress.quota.js";

interface ExchangeWorld {
    simulated: SimulatedFleet;
    holder: HostId;
    /** Requests that were counted on all hosts in a usage window. */
    counted: { readonly window: number; readonly requests: number; };
    admitted: { readonly atMs: number; readonly amount: number; }[];
    durationMs: number;
}

const seed = 20_261_207;
const endpointId = brandAs<EndpointId>("engine-1");
const requestTokens = 4_000;

async function startFleet(world: ExchangeWorld, options: Omit<SimulatedFleetOptions, "quotaTolerance">): Promise<void> {
    world.simulated = new SimulatedFleet({ quotaTolerance: tolerance, ...options });
    await world.simulated.start();
}

Given("a simulated fleet of {int} hosts that all serve", function(this: ExchangeWorld, hosts: number) {
    return startFleet(this, { hosts });
});

Given(
    "a simulated fleet of {int} hosts that all serve, one of them of an older version",
    function(this: ExchangeWorld, hosts: number) {
        return startFleet(this, { hosts, aggregates: index => index > 0 });
    },
);

When("the simulated fleet has run for {int} s", async function(this: ExchangeWorld, seconds: number) {
    await this.simulated.run(seconds * 1_000);
    assert.ok(this.simulated.hosts.every(({ exchange }) => exchange.serving.serving.length === this.simulated.hosts.length));
});

Then(
    "in the next {int} s its hosts make or answer at most {int} calls a second on average, and none more than {int}",
    async function(this: ExchangeWorld, seconds: number, mean: number, most: number) {
        const { simulated } = this;
        simulated.calls.clear();
        await simulated.run(seconds * 1_000);
        const rates = simulated.hosts.map(({ hostId }) => (simulated.calls.get(hostId) ?? 0) / seconds);
        const sum = rates.reduce((total, rate) => total + rate, 0);
        assert.ok(sum / rates.length <= mean, `${sum / rates.length} calls a second on average`);
        assert.ok(Math.max(...rates) <= most, `${Math.max(...rates)} calls a second`);
    },
);

Given(
    "a simulated fleet of {int} hosts that all serve, whose host {string} holds the duties",
    function(this: ExchangeWorld, hosts: number, holder: string) {
        this.holder = brandAs<HostId>(holder);
        return startFleet(this, { hosts, dutyHolder: this.holder });
    },
);

When("each host counts {int} requests", function(this: ExchangeWorld, count: number) {
    const { hosts, clock } = this.simulated;
    for (const { counts } of hosts) {
        Array.from({ length: count }, () => counts.usage.record("crew", clock.now()));
    }
    this.counted = { window: hosts[0]!.counts.usage.windowAt(clock.now()), requests: count * hosts.length };
});

Then(
    "the duty holder counts them all within {int} ms, also after half of the aggregators are lost",
    async function(this: ExchangeWorld, withinMs: number) {
        const { simulated, counted, holder } = this;
        const holding = simulated.hosts.find(({ hostId }) => hostId === holder)!;
        await simulated.run(withinMs);
        assert.equal(holding.counts.usage.total(counted.window)["crew"], counted.requests);
        const aggregators = simulated.hosts.filter(host => holding.exchange.serving.aggregators.includes(host.hostId));
        aggregators.filter((host, index) => index % 2 === 0 && host !== holding).forEach(host => host.isAlive = false);
        const live = simulated.hosts.filter(({ isAlive }) => isAlive);
        live.forEach(({ counts }) => counts.usage.record("crew", simulated.clock.now()));
        const window = holding.counts.usage.windowAt(simulated.clock.now());
        const before = window === counted.window ? counted.requests : 0;
        // Hosts whose aggregator was lost report to another one after a time-out.
        await simulated.run(2 * withinMs);
        assert.equal(holding.counts.usage.total(window)["crew"], before + live.length);
    },
);

const fleets = fc.record({
    hosts: fc.integer({ min: 13, max: 363 }),
    domains: fc.integer({ min: 1, max: 6 }),
    work: fc.double({ min: 0, max: 30, noNaN: true }),
});

function describeCandidates(hosts: number, domains: number): readonly policy.ServingCandidate[] {
    return Array.from({ length: hosts }, (_, index) => ({
        hostId: brandAs<HostId>(`edge-${index}`),
        failureDomain: brandAs<FailureDomainId>(`domain-${index % domains}`),
        strength: index % 13 === 0 ? 1.35 : 0.324,
    }));
}

Then(
    "in {int} random fleets the aggregators are at most the square root of the hosts and {int} more, of as many domains as there are",
    (runs: number, more: number) => {
        fc.assert(
            fc.property(fleets, ({ hosts, domains, work }) => {
                const serving = policy.chooseServingHosts(describeCandidates(hosts, domains), { work });
                const chosen = policy.chooseAggregators(serving, { hosts, isUnresponsive: () => false });
                assert.ok(chosen.length <= Math.sqrt(hosts) + more, `${chosen.length} aggregators`);
                const spread = new Set(chosen.map(({ failureDomain }) => failureDomain)).size;
                assert.equal(spread, Math.min(domains, chosen.length));
            }),
            { seed, numRuns: runs },
        );
    },
);

Then(
    "they come first in every larger serving set too, and hosts to which none of them responds add the same next ones",
    () => {
        fc.assert(
            fc.property(fleets, fc.double({ min: 0, max: 30, noNaN: true }), ({ hosts, domains, work }, added) => {
                const candidates = describeCandidates(hosts, domains);
                const larger = policy.chooseServingHosts(candidates, { work: work + added });
                const list = (serving: readonly policy.ServingCandidate[], lost: readonly HostId[]): readonly HostId[] =>
                    policy.chooseAggregators(serving, { hosts, isUnresponsive: hostId => lost.includes(hostId) })
                        .map(({ hostId }) => hostId);
                const chosen = list(policy.chooseServingHosts(candidates, { work }), []);
                const ofLarger = list(larger, []);
                assert.deepEqual(ofLarger.slice(0, chosen.length), chosen);
                const extended = list(larger, ofLarger);
                assert.deepEqual(extended.slice(0, ofLarger.length), ofLarger);
                assert.ok(extended.length > ofLarger.length || ofLarger.length === larger.length);
            }),
            { seed, numRuns: 300 },
        );
    },
);

When("each of {int} hosts begins a request at an endpoint", function(this: ExchangeWorld, count: number) {
    beginRequests(this.simulated.hosts.filter((_, index) => index % 3 === 1).slice(-count));
});

function beginRequests(hosts: readonly SimulatedHost[]): void {
    hosts.forEach(({ hostId, counts }) =>
        counts.loads.recordDispatch({ requestId: hostId, endpointId, priority: 1, tokens: 500 })
    );
}

Then(
    "all hosts count the {int} requests within {int} ms and no more for {int} s",
    async function(this: ExchangeWorld, count: number, withinMs: number, seconds: number) {
        const { simulated } = this;
        await simulated.run(withinMs);
        await simulated.run(seconds * 1_000, () => assertCounted(simulated.hosts, count, simulated.clock.monotonicMs()));
    },
);

function assertCounted(hosts: readonly SimulatedHost[], count: number, nowMs: number, context = ""): void {
    for (const host of hosts) {
        assert.equal(host.running(endpointId, nowMs), count, `${host.hostId} at ${nowMs} ms${context}`);
    }
}

Then(
    "in {int} seeded series of losses and returns in fleets of {int} to {int} hosts, all live hosts name the same hosts and count use once {int} s later",
    { timeout: 120_000 },
    async (series: number, fewest: number, most: number, seconds: number) => {
        for (let index = 0; index < series; index += 1) {
            const draw = createRandom(seed + index);
            const fleet = new SimulatedFleet({
                hosts: fewest + Math.floor(draw() * (most - fewest + 1)),
                quotaTolerance: tolerance,
            });
            await fleet.start();
            await fleet.run(3_000);
            for (let change = 0; change < 4; change += 1) {
                const share = draw() * 0.4;
                // The aggregators are the strongest hosts, which come first.
                fleet.hosts.forEach((host, rank) => host.isAlive = draw() >= (rank < 9 ? 2 * share : share));
                await fleet.run(200 + draw() * 2_000);
            }
            await fleet.run(seconds * 1_000);
            const live = fleet.hosts.filter(({ isAlive }) => isAlive);
            const context = `, series ${index}, seed ${seed}`;
            const sets = live.map(({ exchange }) => exchange.serving.serving.map(({ hostId }) => hostId).toSorted().join());
            const expected = live.map(({ hostId }) => hostId).toSorted().join();
            sets.forEach((set, rank) => assert.equal(set, expected, `${live[rank]!.hostId}${context}`));
            beginRequests(live.slice(-5));
            await fleet.run(1_500);
            assertCounted(live, 5, fleet.clock.monotonicMs(), context);
            await fleet.stop();
        }
    },
);

When(
    /^a customer asks the simulated fleet for five times its limit for (\d+) s while (nothing fails|a third of the hosts is cut off|half of the aggregators is cut off)$/,
    { timeout: 120_000 },
    async function(this: ExchangeWorld, seconds: string, fault: string) {
        const { simulated: { hosts, clock } } = this;
        const draw = createRandom(seed);
        this.durationMs = Number(seconds) * 1_000;
        this.admitted = [];
        const startMs = clock.monotonicMs();
        const aggregators = new Set(hosts[0]!.exchange.serving.aggregators);
        const cut = selectCut(hosts, fault, host => aggregators.has(host.hostId));
        await this.simulated.run(this.durationMs, () => {
            const nowMs = clock.monotonicMs();
            if (nowMs - startMs >= this.durationMs / 2) {
                cut.forEach(host => host.partition = 1);
            }
            for (let sent = 0; sent < limit.perSecond * 5 * 0.01 / requestTokens + draw() - 0.5; sent += 1) {
                const { counts, exchange } = hosts[Math.floor(draw() * hosts.length)]!;
                if (counts.quota.tryAcquire("large", limit, requestTokens, exchange.reach(), nowMs).admitted) {
                    this.admitted.push({ atMs: nowMs, amount: requestTokens });
                }
            }
        });
    },
);

function selectCut(
    hosts: readonly SimulatedHost[],
    fault: string,
    isAggregator: (host: SimulatedHost) => boolean,
): readonly SimulatedHost[] {
    if (fault === "nothing fails") {
        return [];
    }
    const aggregators = hosts.filter(isAggregator);
    return fault.startsWith("half") ? aggregators.slice(0, aggregators.length / 2) : hosts.filter((_, index) => index % 3 === 0);
}

After(async function(this: Partial<ExchangeWorld>) {
    await this.simulated?.stop();
});
