import { Given, Then, When } from "@cucumber/cucumber";
import * as policy from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { createRandom } from "../support/random.js";

const seed = 20_261_204;
const windowMs = 8_000;
export const tolerance = 110_000;
export const limit = { unit: "tokens" as const, perSecond: 128_000, burst: 128_000, unstatedTokens: 200 };
const limitWithTolerance = (limit.perSecond * windowMs / 1_000 + limit.burst) * 1.1 + tolerance;

interface QuotaWorld {
    hosts: QuotaHost[];
    admitted: { readonly atMs: number; readonly amount: number; }[];
    durationMs: number;
    exchangeMs: number;
    quota: policy.UsageQuota;
}

interface QuotaHost {
    quota: policy.UsageQuota;
    partition: number;
    /** Hosts of a group exchange their individual usage; other groups get the sum of the group. */
    groupName: string;
    /** A restarted host receives reports from the next exchange on. */
    isStarted: boolean;
}

Given("{int} hosts that exchange their use every 150 ms", function(this: QuotaWorld, count: number) {
    this.hosts = Array.from({ length: count }, () => ({
        quota: policy.createUsageQuota({ windowMs, tolerance, nowMs: -20_000 }),
        partition: 0,
        groupName: "all",
        isStarted: true,
    }));
    this.exchangeMs = 150;
    this.admitted = [];
});

Given("{int} hosts in groups that exchange their use every {int} ms", function(this: QuotaWorld, count: number, everyMs: number) {
    const groups = policy.countExchangeGroups(count);
    this.hosts = Array.from({ length: count }, (_, index) => ({
        quota: policy.createUsageQuota({ windowMs, tolerance, nowMs: -20_000 }),
        partition: 0,
        groupName: `group/${index % groups}`,
        isStarted: true,
    }));
    this.exchangeMs = everyMs;
    this.admitted = [];
});

/** Simulates a customer that requests five times its limit in small requests to random hosts. */
function simulateCustomer(world: QuotaWorld, durationMs: number, injectFault: (atMs: number) => void): void {
    const amount = 4_000;
    const random = createRandom(seed);
    world.durationMs = durationMs;
    for (let atMs = 0; atMs < durationMs; atMs += 5) {
        injectFault(atMs);
        if (atMs % world.exchangeMs === 0) {
            exchange(world.hosts, atMs);
        }
        for (let sent = 0; sent < limit.perSecond * 5 * 0.005 / amount + random() - 0.5; sent += 1) {
            const host = world.hosts[Math.floor(random() * world.hosts.length)]!;
            const reach = {
                knownHosts: world.hosts.length,
                reachableHosts: world.hosts.filter(other => other === host || areConnected(other, host)).length,
            };
            if (host.quota.tryAcquire("large", limit, amount, reach, atMs).admitted) {
                world.admitted.push({ atMs, amount });
            }
        }
    }
}

function areConnected(left: QuotaHost, right: QuotaHost): boolean {
    return left.partition === right.partition && left.isStarted && right.isStarted;
}

function exchange(hosts: readonly QuotaHost[], atMs: number): void {
    hosts.forEach(host => {
        host.isStarted = true;
    });
    hosts.forEach((from, index) => {
        const use = from.quota.ownUse(atMs);
        const groupPeers = hosts.filter(to => to !== from && areConnected(to, from) && to.groupName === from.groupName);
        groupPeers.forEach(to => to.quota.recordPeerUse(`h${index}`, use, atMs));
    });
    const representatives = new Map(hosts.map(host => [host.groupName, host]));
    for (const [name, host] of representatives) {
        const use = host.quota.groupUse(atMs);
        hosts.filter(to => to.groupName !== name).forEach(to => to.quota.recordGroupUse(name, use, atMs));
    }
}

When("a customer asks for five times its limit for {int} s", function(this: QuotaWorld, seconds: number) {
    simulateCustomer(this, seconds * 1_000, () => undefined);
});

When(
    "a customer asks for five times its limit for {int} s and all hosts are killed at {int} s and at {int} s",
    function(this: QuotaWorld, seconds: number, firstKill: number, secondKill: number) {
        simulateCustomer(this, seconds * 1_000, atMs => {
            if (atMs === firstKill * 1_000 || atMs === secondKill * 1_000) {
                this.hosts.forEach(host => {
                    host.quota = policy.createUsageQuota({ windowMs, tolerance, nowMs: atMs });
                    host.isStarted = false;
                });
            }
        });
    },
);

When(
    "a customer asks for five times its limit for {int} s and {int} hosts are cut off at {int} s",
    function(this: QuotaWorld, seconds: number, cut: number, cutAt: number) {
        simulateCustomer(this, seconds * 1_000, atMs => {
            if (atMs === cutAt * 1_000) {
                this.hosts.slice(0, cut).forEach(host => {
                    host.partition = 1;
                });
            }
        });
    },
);

Then("no window of 8 s holds more than the limit with its tolerance", function(this: QuotaWorld) {
    let sum = 0;
    let first = 0;
    for (const { atMs, amount } of this.admitted) {
        sum += amount;
        while (this.admitted[first]!.atMs <= atMs - windowMs) {
            sum -= this.admitted[first]!.amount;
            first += 1;
        }
        assert.ok(sum <= limitWithTolerance, `${sum} tokens within 8 s before ${atMs} ms, allowed ${limitWithTolerance}`);
    }
});

Then("more than {int} percent of the limit is let through", function(this: QuotaWorld, percent: number) {
    const total = this.admitted.reduce((sum, { amount }) => sum + amount, 0);
    assert.ok(total > percent / 100 * limit.perSecond * this.durationMs / 1_000, `${total} tokens`);
});

Given("a quota of 1 host", function(this: QuotaWorld) {
    this.quota = policy.createUsageQuota({ windowMs, tolerance: 0, nowMs: -20_000 });
});

const singleHost = { knownHosts: 1, reachableHosts: 1 };

When("a customer acquires its whole limit and gets it refunded", function(this: QuotaWorld) {
    assert.ok(this.quota.tryAcquire("large", limit, 300_000, singleHost, 100).admitted);
    assert.ok(!this.quota.tryAcquire("large", limit, 300_000, singleHost, 200).admitted);
    this.quota.refund("large", 300_000, 100, 250);
});

Then("it can acquire the limit again at once", function(this: QuotaWorld) {
    assert.ok(this.quota.tryAcquire("large", limit, 300_000, singleHost, 300).admitted);
});
