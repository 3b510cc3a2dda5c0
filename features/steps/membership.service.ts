import { After, Given, Then, When } from "@cucumber/cucumber";
import type { HostListClient } from "@filbertrelay/connectors";
import { brandAs, createKernel, createSystemClock, silentEventLog, success } from "@filbertrelay/kernel";
import type { HostId, Incarnation, Kernel } from "@filbertrelay/kernel";
import { createMembershipService } from "@filbertrelay/relay";
import type { GossipMembership, Member } from "@filbertrelay/relay";
import { createPeerNetwork } from "@filbertrelay/wire";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";

const clock = createSystemClock();
const key = "correct-horse-battery";
const waitMs = 30_000;

interface RunningHost {
    readonly kernel: Kernel;
    readonly network: TcpPeerNetwork;
    readonly membership: GossipMembership;
}

interface ServiceWorld {
    memberHosts: Map<string, RunningHost>;
    seeds: string[];
    formerIncarnation: Incarnation;
}

After(async function(this: ServiceWorld) {
    await Promise.all([...this.memberHosts?.values() ?? []].map(({ kernel }) => kernel.stop(clock.monotonicMs() + 1_000)));
});

async function startHost(world: ServiceWorld, name: string, clockOffsetMs = 0): Promise<void> {
    const shifted = { ...clock, now: () => new Date(Date.now() + clockOffsetMs) };
    const kernel = createKernel({ clock: shifted, log: silentEventLog });
    const network = createPeerNetwork({
        clock,
        log: silentEventLog,
        hostId: brandAs<HostId>(name),
        listenAddress: "127.0.0.1:0",
        keys: [key],
        frameBytes: 1_000_000,
    });
    const hostList: HostListClient = { list: () => Promise.resolve(success([])) };
    kernel.register("peers", network);
    kernel.register("hostList", hostList as HostListClient & object);
    const membership = createMembershipService(kernel, {
        host: { id: name, failureDomain: "coast-a", peerAddress: "127.0.0.1:0", callerAddress: "127.0.0.1:8080" },
        cluster: { keys: [key], seeds: world.seeds },
        timing: { probePeriodMs: 200, stallTimeoutMs: 1_000, drainLimitMs: 1_000 },
    });
    kernel.register("membership", membership);
    await kernel.start();
    world.seeds = world.seeds.length === 0 ? [network.address] : world.seeds;
    world.memberHosts.set(name, { kernel, network, membership });
}

function memberAt(host: RunningHost, name: string): Member | undefined {
    return host.membership.members().find(({ hostId }) => hostId === name);
}

async function waitUntil(condition: () => boolean): Promise<void> {
    const endMs = clock.monotonicMs() + waitMs;
    while (!condition()) {
        assert.ok(clock.monotonicMs() < endMs, `The condition was not met within ${waitMs} ms.`);
        await delay(10);
    }
}

function othersOf(world: ServiceWorld, name: string): RunningHost[] {
    return [...world.memberHosts].filter(([other]) => other !== name).map(([, host]) => host);
}

Given("membership services on {int} hosts that know one seed", async function(this: ServiceWorld, count: number) {
    this.memberHosts = new Map();
    this.seeds = [];
    for (let number = 1; number <= count; number++) {
        await startHost(this, `host-${number}`);
    }
});

Then("all {int} hosts see each other as alive", async function(this: ServiceWorld, count: number) {
    const seesAllAlive = ({ membership }: RunningHost) =>
        membership.members().filter(({ state }) => state === "alive").length === count;
    await waitUntil(() => [...this.memberHosts.values()].every(seesAllAlive));
});

When("the host {string} leaves and stops", async function(this: ServiceWorld, name: string) {
    const host = this.memberHosts.get(name);
    assert.ok(host);
    this.formerIncarnation = host.membership.self().incarnation;
    await host.membership.leave();
    assert.equal(host.membership.self().state, "leaving");
    await host.kernel.stop(clock.monotonicMs() + 2_000);
    this.memberHosts.delete(name);
});

Then("the other hosts see {string} as dead", async function(this: ServiceWorld, name: string) {
    await waitUntil(() => othersOf(this, name).every(host => memberAt(host, name)?.state === "dead"));
});

When("the host {string} starts again", async function(this: ServiceWorld, name: string) {
    await startHost(this, name);
});

When("the host {string} starts again with its clock set back by an hour", async function(this: ServiceWorld, name: string) {
    await startHost(this, name, -3_600_000);
});

Then("the other hosts see {string} as alive under a newer incarnation", async function(this: ServiceWorld, name: string) {
    const own = this.memberHosts.get(name)?.membership.self();
    assert.notEqual(own?.incarnation, this.formerIncarnation);
    await waitUntil(() =>
        othersOf(this, name).every(host => {
            const seen = memberAt(host, name);
            return seen?.state === "alive" && seen.incarnation === own?.incarnation && seen.peerAddress === own.peerAddress;
        })
    );
});

Then("a value that {string} publishes is read by the other hosts", async function(this: ServiceWorld, name: string) {
    this.memberHosts.get(name)?.membership.publish("note", { text: "new" });
    const isRead = ({ membership }: RunningHost) =>
        membership.published("note").some(({ host, value }) => host === name && (value as { text: string; }).text === "new");
    await waitUntil(() => othersOf(this, name).every(isRead));
});
