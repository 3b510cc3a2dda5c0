import { Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy/ingress";
import fc from "fast-check";
import assert from "node:assert/strict";

interface ReportWorld {
    reach: policy.EndpointReach;
    failed: readonly policy.ReachedEndpoint[];
    startMs: number;
    probes: number;
    reports: readonly (policy.ReachReport | undefined)[];
}

// A failed property prints this seed with the counterexample.
const seed = 20_261_206;
const endpoints = [0, 1, 2, 3].map((index): policy.ReachedEndpoint => ({
    endpointId: brandAs<EndpointId>(`endpoint-${index}`),
    startedAtMs: 1,
    failureDomain: brandAs<FailureDomainId>(`domain-${index % 2}`),
    service: "service",
}));
const processes = endpoints.map(({ endpointId, startedAtMs }) => policy.createCrashId(endpointId, startedAtMs));

function createReach(name: string): policy.EndpointReach {
    return policy.createEndpointReach({ hostId: brandAs<HostId>(name), listHosts: () => [], onChange: () => undefined });
}

const ages = fc.dictionary(fc.constantFrom(...processes, "gone/1"), fc.nat(6_000), { maxKeys: 4 });
const reports = fc.record({
    report: fc.record({
        suspects: ages,
        silent: ages,
        answers: ages,
        stranded: fc.dictionary(fc.constantFrom("host-1", "host-2"), fc.nat(2_000), { maxKeys: 2 }),
    }),
    elapsedMs: fc.nat(300),
});

Then("{int} seeded series of reports leave the same knowledge in any order", function(runs: number) {
    const orders = fc.array(reports, { minLength: 1, maxLength: 6 }).chain(series =>
        fc.record({
            series: fc.constant(series),
            other: fc.shuffledSubarray([...series, ...series], { minLength: 2 * series.length }),
        })
    );
    fc.assert(
        fc.property(orders, ({ series, other }) => {
            const [first, second] = [series, other].map(order => {
                const reach = createReach("host");
                reach.recordHeard(endpoints[0]!, 9_000);
                reach.recordConnectFailure(endpoints[1]!, 9_100);
                order.forEach(({ report, elapsedMs }) => reach.merge(report, 10_000, elapsedMs));
                return { report: reach.report(10_000), ways: endpoints.map(endpoint => reach.wayTo(endpoint, 10_000)) };
            });
            assert.deepEqual(sort(first), sort(second));
        }),
        { seed, numRuns: runs },
    );
});

/** The same with sorted keys, since their order in a report means nothing. */
function sort(value: unknown): unknown {
    return JSON.stringify(value, (_, part: unknown) =>
        typeof part === "object" && part !== null && !Array.isArray(part) ?
            Object.fromEntries(Object.entries(part).sort(([left], [right]) => left < right ? -1 : 1)) :
            part);
}

Then("{int} seeded rounds of reports between hosts end within {int} s", function(runs: number, seconds: number) {
    const gossip = fc.record({ first: reports, delays: fc.array(fc.nat(250), { minLength: 1, maxLength: 8 }) });
    fc.assert(
        fc.property(gossip, ({ first, delays }) => {
            const hosts = ["a", "b", "c"].map(createReach);
            hosts[0]!.merge(first.report, 0, first.elapsedMs);
            let nowMs = 0;
            for (let round = 0; nowMs <= seconds * 1_000; round += 1) {
                const from = hosts[round % hosts.length]!;
                const report = from.report(nowMs);
                const delayMs = delays[round % delays.length]!;
                nowMs += Math.max(50, delayMs);
                hosts.forEach(host => report === undefined ? undefined : host.merge(report, nowMs, Math.max(50, delayMs)));
            }
            assert.deepEqual(hosts.map(host => host.report(nowMs)), [undefined, undefined, undefined]);
        }),
        { seed, numRuns: runs },
    );
});

Given("a host with endpoints of 2 failure domains", function(this: ReportWorld) {
    this.reach = createReach("host");
    this.startMs = 5_000;
    for (let nowMs = 0; nowMs <= this.startMs; nowMs += 100) {
        endpoints.forEach(endpoint => this.reach.recordHeard(endpoint, nowMs));
    }
});

function fail(world: ReportWorld, failed: readonly policy.ReachedEndpoint[]): void {
    world.failed = failed;
    failed.forEach(endpoint => world.reach.recordConnectFailure(endpoint, world.startMs));
}

/** Lets time pass without a freeze. */
function pass(world: ReportWorld, durationMs: number, isHeard: boolean): number {
    for (let elapsedMs = 50; elapsedMs <= durationMs; elapsedMs += 50) {
        if (isHeard) {
            world.reach.recordHeard(endpoints[3]!, world.startMs + elapsedMs);
        }
        world.reach.report(world.startMs + elapsedMs);
    }
    return world.startMs + durationMs;
}

function isSuspected(world: ReportWorld, nowMs: number): boolean {
    return world.failed.some(endpoint => world.reach.isOwnLinkSuspected(endpoint, nowMs));
}

When("an endpoint refuses a connection", function(this: ReportWorld) {
    fail(this, [endpoints[0]!]);
});

When("endpoints of both failure domains refuse", function(this: ReportWorld) {
    fail(this, [endpoints[0]!, endpoints[1]!]);
});

When("an endpoint of a third one ends, and then the rest of its answer comes", function(this: ReportWorld) {
    const ended = {
        ...endpoints[0]!,
        endpointId: brandAs<EndpointId>("endpoint-4"),
        failureDomain: brandAs<FailureDomainId>("domain-2"),
    };
    this.reach.recordHeard(ended, this.startMs);
    this.reach.forget(ended.endpointId);
    this.reach.recordHeard(ended, this.startMs);
    this.startMs = pass(this, 4_000, true);
});

When("all endpoints that are left refuse while another host hears them", function(this: ReportWorld) {
    fail(this, endpoints);
    this.startMs = pass(this, 300, false);
    for (let elapsedMs = 0; elapsedMs <= 1_200; elapsedMs += 100) {
        this.startMs += 100;
        this.reach.merge({ answers: Object.fromEntries(processes.map(name => [name, 0])) }, this.startMs, 40);
        this.reach.takeDueProbes(endpoints, this.startMs);
        this.reach.report(this.startMs);
    }
});

Then("the host says that it is cut off", function(this: ReportWorld) {
    assert.deepEqual(this.reach.isStranded(this.startMs), true);
});

When("an endpoint refuses that another host hears {int} ms later", function(this: ReportWorld, afterMs: number) {
    fail(this, [endpoints[0]!]);
    const nowMs = pass(this, afterMs + 100, true);
    this.reach.merge({ answers: { [processes[0]!]: 60 } }, nowMs, 40);
});

When("connections time out in a freeze while another host hears their endpoints", function(this: ReportWorld) {
    this.startMs += 2_000;
    fail(this, [endpoints[0]!, endpoints[1]!]);
    const nowMs = pass(this, 300, true);
    this.reach.merge({ answers: { [processes[0]!]: 60, [processes[1]!]: 60 } }, nowMs, 40);
});

When("an endpoint refuses that is heard on an open connection", function(this: ReportWorld) {
    fail(this, [endpoints[0]!]);
    this.reach.recordHeard(endpoints[0]!, pass(this, 200, true));
});

When("another process of an endpoint was heard", function(this: ReportWorld) {
    fail(this, [endpoints[0]!]);
    const nowMs = pass(this, 300, true);
    this.reach.merge({ answers: { [policy.createCrashId(endpoints[0]!.endpointId, 2)]: 60 } }, nowMs, 40);
});

Then("its failure counts at once", function(this: ReportWorld) {
    assert.equal(isSuspected(this, pass(this, 350, true)), false);
});

Then("their failures count {int} ms later, while others are heard", function(this: ReportWorld, afterMs: number) {
    assert.equal(isSuspected(this, this.startMs), true);
    assert.equal(isSuspected(this, pass(this, afterMs - 50, true)), true);
    assert.equal(isSuspected(this, pass(this, afterMs + 50, true)), false);
});

Then("their failures count {int} ms later, while nothing is heard", function(this: ReportWorld, afterMs: number) {
    assert.equal(isSuspected(this, pass(this, afterMs - 50, false)), true);
    assert.equal(isSuspected(this, pass(this, afterMs + 50, false)), false);
});

Then(/^its failure doesn't count, and its way is (open|relay)$/, function(this: ReportWorld, way: string) {
    const nowMs = this.startMs + 350;
    assert.equal(isSuspected(this, nowMs), true);
    assert.equal(this.reach.wayTo(this.failed[0]!, nowMs), way);
    assert.equal(this.reach.wayTo(endpoints[2]!, nowMs), "direct");
});

Then("its way is direct", function(this: ReportWorld) {
    const nowMs = pass(this, 2_650, true);
    assert.equal(this.reach.wayTo(this.failed[0]!, nowMs), "direct");
});

Then("their failures don't count, and their ways are direct", function(this: ReportWorld) {
    const nowMs = this.startMs + 350;
    this.failed.forEach(endpoint => {
        assert.equal(this.reach.isOwnLinkSuspected(endpoint, nowMs), true);
        assert.equal(this.reach.wayTo(endpoint, nowMs), "direct");
    });
});

When("it sends requests and hears all endpoints for {int} s", function(this: ReportWorld, seconds: number) {
    const found: (policy.ReachReport | undefined)[] = [];
    this.probes = 0;
    for (let elapsedMs = 0; elapsedMs <= seconds * 1_000; elapsedMs += 100) {
        const nowMs = this.startMs + elapsedMs;
        endpoints.forEach((endpoint, index) => {
            this.reach.recordSent(`${index}-${elapsedMs}`, endpoint, nowMs);
            this.reach.recordHeard(endpoint, nowMs + 40);
            this.reach.recordEnded(`${index}-${elapsedMs}`);
        });
        this.probes += this.reach.takeDueProbes(endpoints, nowMs + 50).length;
        found.push(this.reach.report(nowMs + 50));
    }
    this.startMs += seconds * 1_000 + 50;
    this.reports = found;
});

Then("it reports nothing, probes nothing and reaches all endpoints directly", function(this: ReportWorld) {
    assert.ok(this.reports.length > 0 && this.reports.every(report => report === undefined));
    assert.equal(this.probes, 0);
    assert.ok(endpoints.every(endpoint => this.reach.wayTo(endpoint, this.startMs) === "direct"));
    assert.equal(this.reach.isStranded(this.startMs), false);
});
