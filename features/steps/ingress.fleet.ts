import { After, Given, Then, When } from "@cucumber/cucumber";
import { stateEvents } from "@filbertrelay/ingress";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { EndpointId, HostId } from "@filbertrelay/kernel";
import { describeEngine, StandinStore } from "@filbertrelay/platform/standins";
import * as policy from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";
import { FleetHost } from "../support/fleethost.js";
import { waitFor } from "../support/ingress.js";

// A failed property prints this seed with the counterexample.
const seed = 20_261_204;
const clock = createSystemClock();
const peerPort = 7_400;
const watchedEndpoint = brandAs<EndpointId>("engine-1");

interface FleetWorld {
    plans: {
        readonly hosts: readonly HostId[];
        readonly plans: ReadonlyMap<HostId, policy.ExchangePlan>;
    }[];
    ingressStore: StandinStore;
    ingressHosts: FleetHost[];
    /** Hosts that should count a recorded use; the first one recorded it. */
    observers: FleetHost[];
    crashedHosts: readonly HostId[];
    stopHeartbeats?: () => void;
    stopTimers?: (() => void)[];
    restoredMs: number;
    callsBefore: number;
}

function describeEntry(state: string, sequence: number): Record<string, unknown> {
    return { ...describeEngine({ address: "127.0.0.1:1" }, { service: "assistant", state, isModel: true }), sequence };
}

function planAll(hosts: readonly HostId[]): ReadonlyMap<HostId, policy.ExchangePlan> {
    return new Map(hosts.map(host => [host, policy.planExchange(host, hosts, { isAvoided: () => false })]));
}

function createHostIds(count: number, prefix: string): readonly HostId[] {
    return Array.from({ length: count }, (_, index) => brandAs<HostId>(`${prefix}-${index}`));
}

When("exchanges are planned for fleets of random sizes and names", function(this: FleetWorld) {
    const fleets = fc.record({ count: fc.integer({ min: 1, max: 400 }), prefix: fc.string({ maxLength: 12 }) });
    this.plans = fc.sample(fleets, { numRuns: 30, seed }).map(({ count, prefix }) => {
        const hosts = createHostIds(count, prefix);
        return { hosts, plans: planAll(hosts) };
    });
});

Then("every host reaches all others through its group and one representative of each other group", function(this: FleetWorld) {
    for (const { hosts, plans } of this.plans) {
        for (const [host, { groupPeers, representatives }] of plans) {
            const reached = new Set([host, ...groupPeers]);
            for (const partner of representatives.values()) {
                [partner, ...plans.get(partner)!.groupPeers].forEach(other => reached.add(other));
            }
            assert.equal(reached.size, hosts.length, `${host} of ${hosts.length} hosts`);
        }
    }
});

Then(
    "a host exchanges with at most {int} times the square root of the number of hosts",
    function(this: FleetWorld, times: number) {
        for (const { hosts, plans } of this.plans) {
            for (const { groupPeers, representatives } of plans.values()) {
                assert.ok(groupPeers.length + representatives.size <= times * Math.sqrt(hosts.length), `${hosts.length} hosts`);
            }
        }
    },
);

Then("fleets of {int} and of {int} hosts put the same hosts into each group", (fewer: number, more: number) => {
    const before = planAll(createHostIds(fewer, "edge"));
    const after = planAll(createHostIds(more, "edge"));
    for (const [host, { ownGroup }] of before) {
        assert.equal(after.get(host)!.ownGroup, ownGroup);
    }
});

Given("a fleet of {int} hosts with a store stand-in", async function(this: FleetWorld, count: number) {
    this.ingressStore = new StandinStore();
    await this.ingressStore.start();
    this.ingressHosts = [];
    for (const [index, hostId] of createHostIds(count, "edge").entries()) {
        // Loopback addresses that only this process uses: a free port of 127.0.0.1 may be taken by features that run in parallel.
        const peerAddress = `127.${process.pid >> 8 & 255}.${process.pid & 255}.${index + 1}:${peerPort}`;
        const entry = {
            incarnation: "run-1",
            callerAddress: "127.0.0.1:1",
            peerAddress,
            failureDomain: "domain-1",
            aggregates: true,
        };
        this.ingressStore.put(`filbertrelay/hosts/${hostId}`, entry);
        this.ingressHosts.push(new FleetHost(hostId, peerAddress, this.ingressStore));
    }
    await Promise.all(this.ingressHosts.map(host => host.start()));
});

Given("requests that keep all hosts in the serving set", function(this: FleetWorld) {
    const { callerWork } = this.ingressHosts[0]!;
    const timer = setInterval(() => callerWork.recordWork("callers", 1_000, clock.monotonicMs()), 100);
    this.stopTimers = [...this.stopTimers ?? [], () => clearInterval(timer)];
});

When("the fleet has run for {int} s", async function(this: FleetWorld, seconds: number) {
    await clock.sleep(seconds * 1_000);
    this.ingressHosts.forEach(host => {
        host.watches = 0;
        host.logged = [];
    });
    // A watch without changes gets a response after 1.5 s.
    await clock.sleep(1_700);
});

Then("at most {int} hosts watch the store", function(this: FleetWorld, count: number) {
    const watching = this.ingressHosts.filter(host => host.watches > 0);
    assert.ok(watching.length > 0 && watching.length <= count, `${watching.length} hosts watch the store`);
});

Then("a change of the store reaches all hosts within {int} ms", async function(this: FleetWorld, limitMs: number) {
    this.ingressStore.put("op/some-change", { version: 1 });
    const startMs = clock.monotonicMs();
    await waitFor(() => Promise.resolve(this.ingressHosts.every(host => host.mirror.get("op/some-change") !== undefined)));
    assert.ok(clock.monotonicMs() - startMs <= limitMs, `${clock.monotonicMs() - startMs} ms`);
});

When("the store does not respond to the fleet for {int} s and comes back without its last {int} changes", async function(
    this: FleetWorld,
    seconds: number,
    lost: number,
) {
    const backup = this.ingressStore.backUp();
    for (let change = 0; change < lost; change += 1) {
        this.ingressStore.put("op/lost", { change });
    }
    await clock.sleep(300);
    this.ingressStore.fault = "silent";
    await clock.sleep(seconds * 1_000);
    this.ingressStore.fault = "none";
    this.ingressStore.restore(backup);
    this.restoredMs = clock.monotonicMs();
    this.callsBefore = this.ingressStore.calls.length;
});

Then("the hosts have made at most {int} calls each to the restored store after {int} s", async function(
    this: FleetWorld,
    most: number,
    seconds: number,
) {
    await clock.sleep(this.restoredMs + seconds * 1_000 - clock.monotonicMs());
    const calls = this.ingressStore.calls.length - this.callsBefore;
    assert.ok(calls <= most * this.ingressHosts.length, `${calls} calls of ${this.ingressHosts.length} hosts`);
});

Then(
    "use of an endpoint that one host records is counted once by all hosts within {int} ms",
    async function(this: FleetWorld, limitMs: number) {
        const request = { requestId: "request-1", endpointId: watchedEndpoint, priority: 1, tokens: 500 };
        this.ingressHosts[0]!.loads.recordDispatch(request);
        await clock.sleep(limitMs);
        for (const { hostId, loads } of this.ingressHosts) {
            const { running, waitingTokens } = loads.estimate(watchedEndpoint, 1, clock.monotonicMs());
            assert.deepEqual({ hostId, running, waitingTokens }, { hostId, running: 1, waitingTokens: 500 });
        }
    },
);

Given("{int} endpoints that write a heartbeat every {int} ms", function(this: FleetWorld, count: number, intervalMs: number) {
    let sequence = 0;
    const write = (): void => {
        sequence += 1;
        for (let index = 0; index < count; index += 1) {
            this.ingressStore.put(`servers/engine-${index}`, describeEntry("ready", sequence));
        }
    };
    write();
    const timer = setInterval(write, intervalMs);
    this.stopHeartbeats = () => clearInterval(timer);
});

Then("no host received a change from a peer or logged an endpoint change meanwhile", function(this: FleetWorld) {
    const unwanted = new Set<number>([stateEvents.mirroredFromPeer.number, stateEvents.endpointChanged.number]);
    assert.deepEqual(this.ingressHosts.flatMap(host => host.logged.filter(number => unwanted.has(number))), []);
    assert.ok(this.ingressHosts.every(host => host.endpoints.usable("assistant").length === 20));
});

Then("each host that watches the store made at most {int} watch calls", function(this: FleetWorld, limit: number) {
    const watches = this.ingressHosts.map(host => host.watches);
    assert.ok(watches.every(count => count <= limit), watches.join(" "));
});

Then("all hosts know of a leaving endpoint within {int} ms", async function(this: FleetWorld, limitMs: number) {
    this.stopHeartbeats?.();
    this.ingressStore.put("servers/engine-0", describeEntry("draining", 1_000));
    const startMs = clock.monotonicMs();
    await waitFor(() => Promise.resolve(this.ingressHosts.every(host => host.endpoints.usable("assistant").length === 19)));
    assert.ok(clock.monotonicMs() - startMs <= limitMs, `${clock.monotonicMs() - startMs} ms`);
});

Then("an endpoint that is removed and written again unchanged is usable on all hosts", async function(this: FleetWorld) {
    this.ingressStore.remove("servers/engine-1");
    await waitFor(() => Promise.resolve(this.ingressHosts.every(host => host.mirror.get("servers/engine-1") === undefined)));
    this.ingressStore.put("servers/engine-1", describeEntry("ready", 1_001));
    await waitFor(() => Promise.resolve(this.ingressHosts.every(host => host.endpoints.usable("assistant").length === 19)));
});

function listServing(host: FleetHost): readonly HostId[] {
    host.serving.refresh();
    return host.serving.serving.map(({ hostId }) => hostId).toSorted();
}

function haveSameServing(hosts: readonly FleetHost[], isWanted: (serving: readonly HostId[]) => boolean): boolean {
    const sets = hosts.map(listServing);
    return isWanted(sets[0]!) && sets.every(set => set.join() === sets[0]!.join());
}

Then("all hosts name the same {int} hosts as serving", async function(this: FleetWorld, count: number) {
    await waitFor(() => Promise.resolve(haveSameServing(this.ingressHosts, serving => serving.length === count)));
});

When("a host outside of the serving set records use of an endpoint", function(this: FleetWorld) {
    const serving = new Set(listServing(this.ingressHosts[0]!));
    const outside = this.ingressHosts.find(({ hostId }) => !serving.has(hostId))!;
    outside.loads.recordDispatch({ requestId: "request-1", endpointId: watchedEndpoint, priority: 1, tokens: 500 });
    this.observers = [outside, ...this.ingressHosts.filter(({ hostId }) => serving.has(hostId))];
});

Then("the serving hosts and that host count it once within {int} ms", async function(this: FleetWorld, limitMs: number) {
    const isKnown = ({ loads }: FleetHost): boolean => {
        const { running, waitingTokens } = loads.estimate(watchedEndpoint, 1, clock.monotonicMs());
        return running >= 1 && waitingTokens >= 500;
    };
    const startMs = clock.monotonicMs();
    const [outside, ...serving] = this.observers;
    await waitFor(() => Promise.resolve(serving.every(isKnown)));
    assert.ok(clock.monotonicMs() - startMs <= limitMs, `${clock.monotonicMs() - startMs} ms`);
    for (const { hostId, loads } of serving) {
        assert.equal(loads.estimate(watchedEndpoint, 1, clock.monotonicMs()).running, 1, hostId);
    }
    assert.ok(isKnown(outside!));
});

When("two serving hosts record use of an endpoint", function(this: FleetWorld) {
    const serving = new Set(listServing(this.ingressHosts[0]!));
    this.observers = this.ingressHosts.filter(({ hostId }) => serving.has(hostId));
    this.observers.slice(0, 2).forEach(({ loads }, index) =>
        loads.recordDispatch({ requestId: `request-${index}`, endpointId: watchedEndpoint, priority: 1, tokens: 500 })
    );
});

Then("the serving hosts count the use of each once for {int} s", async function(this: FleetWorld, seconds: number) {
    await clock.sleep(1_000);
    for (let check = 0; check < seconds * 10; check += 1) {
        for (const { hostId, loads } of this.observers) {
            assert.equal(loads.estimate(watchedEndpoint, 1, clock.monotonicMs()).running, 2, hostId);
        }
        await clock.sleep(100);
    }
});

When("the requests of a serving host keep {int} processors busy", function(this: FleetWorld, work: number) {
    const [first] = listServing(this.ingressHosts[0]!);
    this.ingressHosts.find(({ hostId }) => hostId === first)!.callerWork.recordWork("callers", work * 3_000, clock.monotonicMs());
});

Then(
    "within {int} ms all hosts name at least {int} hosts as serving",
    async function(this: FleetWorld, limitMs: number, count: number) {
        const startMs = clock.monotonicMs();
        await waitFor(() => Promise.resolve(this.ingressHosts.every(host => listServing(host).length >= count)));
        assert.ok(clock.monotonicMs() - startMs <= limitMs, `${clock.monotonicMs() - startMs} ms`);
    },
);

When("half of the serving hosts crash", async function(this: FleetWorld) {
    const crashedIds = listServing(this.ingressHosts[0]!).slice(0, 3);
    const isCrashed = ({ hostId }: FleetHost): boolean => crashedIds.includes(hostId);
    const crashing = this.ingressHosts.filter(isCrashed);
    this.crashedHosts = crashedIds;
    this.ingressHosts = this.ingressHosts.filter(host => !isCrashed(host));
    await Promise.all(crashing.map(host => host.stop()));
});

Then(
    "within {int} ms all hosts name {int} hosts as serving, none of them crashed",
    async function(this: FleetWorld, limitMs: number, count: number) {
        const startMs = clock.monotonicMs();
        const isWanted = (serving: readonly HostId[]): boolean =>
            serving.length === count && !serving.some(hostId => this.crashedHosts.includes(hostId));
        await waitFor(() => Promise.resolve(this.ingressHosts.every(host => isWanted(listServing(host)))));
        assert.ok(clock.monotonicMs() - startMs <= limitMs, `${clock.monotonicMs() - startMs} ms`);
    },
);

When("{int} hosts are partitioned and their entries expire", async function(this: FleetWorld, count: number) {
    const partitioned = this.ingressHosts.splice(0, count);
    await Promise.all(partitioned.map(host => host.stop()));
    partitioned.forEach(({ hostId }) => this.ingressStore.remove(`filbertrelay/hosts/${hostId}`));
    await waitFor(() => Promise.resolve(this.ingressHosts.every(({ serving }) => serving.participants.length === 8 - count)));
});

Then(
    "the others reserve {int} of {int} shares for them for at least {int} s and at most {int} s",
    async function(this: FleetWorld, parts: number, all: number, leastSeconds: number, mostSeconds: number) {
        await clock.sleep(leastSeconds * 1_000);
        for (const { exchange } of this.ingressHosts) {
            assert.deepEqual(exchange.reach(), { knownHosts: all, reachableHosts: all - parts });
        }
        await clock.sleep((mostSeconds - leastSeconds) * 1_000);
        for (const { exchange } of this.ingressHosts) {
            assert.deepEqual(exchange.reach(), { knownHosts: all - parts, reachableHosts: all - parts });
        }
    },
);

When("all hosts that watch the store crash", async function(this: FleetWorld) {
    const watching = this.ingressHosts.filter(host => host.watches > 0);
    this.ingressHosts = this.ingressHosts.filter(host => host.watches === 0);
    await Promise.all(watching.map(host => host.stop()));
});

After(async function(this: Partial<FleetWorld>) {
    this.stopHeartbeats?.();
    this.stopTimers?.forEach(stop => stop());
    await Promise.all((this.ingressHosts ?? []).map(host => host.stop()));
    if (this.ingressHosts !== undefined) {
        this.ingressStore?.stop();
    }
});
