import { Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";

// A failed property prints this seed with the counterexample.
const seed = 20_261_204;
const largeHostCapacity = 1.35;
const smallHostCapacity = 0.324;

interface ServingWorld {
    candidates: readonly policy.ServingCandidate[];
    serving: readonly policy.ServingCandidate[];
    /** Relative number of new caller connections by host. */
    shares: Map<HostId, number>;
    losses: { readonly alive: readonly policy.ServingCandidate[]; readonly serving: readonly policy.ServingCandidate[]; }[];
}

function describeFleet(hosts: number, domains: number): readonly policy.ServingCandidate[] {
    return Array.from({ length: hosts }, (_, index) => ({
        hostId: brandAs<HostId>(`edge-${index}`),
        failureDomain: brandAs<FailureDomainId>(`domain-${index % domains}`),
        strength: index % 13 === 0 ? largeHostCapacity : smallHostCapacity,
    }));
}

function sumCapacity(hosts: readonly policy.ServingCandidate[]): number {
    return hosts.reduce((sum, { strength }) => sum + strength, 0);
}

function listDomains(hosts: readonly policy.ServingCandidate[]): readonly FailureDomainId[] {
    return [...new Set(hosts.map(({ failureDomain }) => failureDomain))];
}

Given(
    "a fleet of {int} hosts of two capacities in {int} failure domains",
    function(this: ServingWorld, hosts: number, domains: number) {
        this.candidates = describeFleet(hosts, domains);
    },
);

When(
    "callers in all failure domains request addresses while requests keep {float} processors busy",
    function(this: ServingWorld, work: number) {
        this.serving = policy.chooseServingHosts(this.candidates, { work });
        this.shares = new Map();
        // Responses of many hosts over many intervals; a caller picks one of the addresses at random.
        for (let answerer = 0; answerer < 400; answerer += 1) {
            for (const failureDomain of listDomains(this.candidates)) {
                const answer = policy.chooseHostsForCaller(this.serving, { failureDomain, limit: 64, key: `host-${answerer}` });
                answer.forEach(({ hostId }) => this.shares.set(hostId, (this.shares.get(hostId) ?? 0) + 1 / answer.length));
            }
        }
    },
);

Then(
    "no host has more than {float} times the mean load per capacity of the serving hosts",
    function(this: ServingWorld, limit: number) {
        const total = [...this.shares.values()].reduce((sum, share) => sum + share, 0);
        const mean = total / sumCapacity(this.serving);
        const loads = this.serving.map(({ hostId, strength }) => (this.shares.get(hostId) ?? 0) / strength / mean);
        assert.ok(Math.max(...loads) <= limit, `${Math.max(...loads)} times the mean`);
    },
);

Then("the serving hosts have between {int} and {int} processors", function(this: ServingWorld, least: number, most: number) {
    const strength = sumCapacity(this.serving);
    assert.ok(strength >= least && strength <= most, `${strength} processors`);
});

When(
    "half of the serving hosts, then a failure domain, then all but {int} hosts are lost",
    function(this: ServingWorld, left: number) {
        const work = 3;
        const first = policy.chooseServingHosts(this.candidates, { work });
        const lost = new Set(first.filter((_, index) => index % 2 === 0).map(({ hostId }) => hostId));
        const stages = [
            this.candidates.filter(({ hostId }) => !lost.has(hostId)),
            this.candidates.filter(({ hostId, failureDomain }) => !lost.has(hostId) && failureDomain !== "domain-2"),
            this.candidates.slice(-left),
        ];
        this.losses = stages.map(alive => ({ alive, serving: policy.chooseServingHosts(alive, { work }) }));
    },
);

Then(
    "after each loss callers in every failure domain get at least {int} hosts, all of them alive",
    function(this: ServingWorld, least: number) {
        for (const { alive, serving } of this.losses) {
            for (const failureDomain of listDomains(this.candidates)) {
                const answer = policy.chooseHostsForCaller(serving, { failureDomain, limit: 64, key: "host-1" });
                assert.ok(answer.length >= least, `${answer.length} hosts`);
                assert.ok(answer.every(host => alive.includes(host)));
                assert.equal(new Set(answer.map(({ hostId }) => hostId)).size, answer.length);
            }
        }
    },
);

Then("the serving hosts had enough processors for the load after each loss that left enough", function(this: ServingWorld) {
    for (const { alive, serving } of this.losses.slice(0, 2)) {
        assert.ok(sumCapacity(serving) >= Math.min(sumCapacity(alive), 15), `${sumCapacity(serving)} processors`);
    }
});

Then(
    "a directory response lists at least {int} hosts of the caller's failure domain and {int} of each other one",
    function(this: ServingWorld, own: number, others: number) {
        const serving = policy.chooseServingHosts(this.candidates, { work: 0 });
        for (const failureDomain of listDomains(this.candidates)) {
            const answer = policy.chooseHostsForCaller(serving, { failureDomain, limit: 64, key: "host-1" });
            for (const other of listDomains(this.candidates)) {
                const count = answer.filter(host => host.failureDomain === other).length;
                assert.ok(other === failureDomain ? count >= own : count === others, `${count} hosts of ${other}`);
            }
        }
    },
);

Then("in random fleets the loss of one host changes the serving set by only a few hosts", () => {
    const fleets = fc.record({
        hosts: fc.integer({ min: 30, max: 300 }),
        domains: fc.integer({ min: 1, max: 6 }),
        lost: fc.nat(),
        work: fc.double({ min: 0, max: 20, noNaN: true }),
    });
    fc.assert(
        fc.property(fleets, ({ hosts, domains, lost, work }) => {
            const candidates = describeFleet(hosts, domains);
            const fewer = candidates.filter((_, index) => index !== lost % hosts);
            const before = new Set(policy.chooseServingHosts(candidates, { work }).map(({ hostId }) => hostId));
            const after = policy.chooseServingHosts(fewer, { work }).map(({ hostId }) => hostId);
            // The loss moves later hosts of the same failure domain up by one, which may add one host of each domain to the set.
            const joined = after.filter(hostId => !before.has(hostId)).length;
            const left = [...before].filter(hostId => !after.includes(hostId)).length;
            assert.ok(joined <= domains + 4 && left <= domains + 1, `${joined} joined, ${left} left`);
        }),
        { seed, numRuns: 200 },
    );
});
