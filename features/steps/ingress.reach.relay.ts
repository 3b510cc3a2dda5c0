import { Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy/ingress";
import assert from "node:assert/strict";

interface RelayWorld {
    counts: readonly number[];
}

/** Requests that a host has in progress. */
const concurrency = 10;
const home = brandAs<FailureDomainId>("domain-0");

function createCandidate(index: number, change: Partial<policy.RelayCandidate> = {}): policy.RelayCandidate {
    return {
        hostId: brandAs<HostId>(`relay-${index}`),
        failureDomain: brandAs<FailureDomainId>(`domain-${index}`),
        isStranded: false,
        pausedUntilMs: 0,
        load: 0,
        ...change,
    };
}

function choose(candidates: readonly policy.RelayCandidate[], number: number, endpointDomain = home): HostId | undefined {
    return policy.chooseRelay(candidates, {
        requestId: `request-${number}`,
        homeDomain: home,
        endpointDomain,
        nowMs: 1_000,
    })?.hostId;
}

When(
    "{int} hosts send {int} requests through {int} others of {int} failure domains",
    function(this: RelayWorld, hosts: number, requests: number, relays: number, domains: number) {
        const counts = Array.from({ length: relays }, () => 0);
        // The relays of the requests that each host has in progress.
        const running = Array.from({ length: hosts }, (): number[] => []);
        for (let number = 0; number < requests; number += 1) {
            const own = running[number % hosts]!;
            const chosen = policy.chooseRelay(
                counts.map((_, index) => ({
                    ...createCandidate(index),
                    index,
                    load: own.filter(relay => relay === index).length,
                })),
                {
                    requestId: `request-${number}`,
                    homeDomain: brandAs<FailureDomainId>(`domain-${number % hosts % domains}`),
                    endpointDomain: brandAs<FailureDomainId>(`domain-${Math.floor(number / hosts) % domains}`),
                    nowMs: 1_000,
                },
            )!.index;
            counts[chosen]! += 1;
            own.push(chosen);
            own.splice(0, own.length - concurrency);
        }
        this.counts = counts.map(count => count / requests);
    },
);

Then("each of the {int} carries {int} to {int} percent", function(this: RelayWorld, relays: number, least: number, most: number) {
    assert.equal(this.counts.length, relays);
    this.counts.forEach(share => assert.ok(share >= least / 100 && share <= most / 100, `${share}`));
});

Then("no relay is chosen of hosts that are cut off or full", function() {
    const able = createCandidate(3);
    const unable = [createCandidate(1, { isStranded: true }), createCandidate(2, { pausedUntilMs: 1_001 })];
    assert.equal(choose(unable, 1), undefined);
    assert.equal(choose([...unable, able], 1), able.hostId);
});

Then("of equal relays one in the failure domain of the host or the endpoint is chosen", function() {
    const candidates = [0, 1, 2].map(index => createCandidate(index));
    const chosen = Array.from({ length: 50 }, (_, number) => choose(candidates, number, brandAs<FailureDomainId>("domain-1")));
    assert.deepEqual(new Set(chosen), new Set(candidates.slice(0, 2).map(({ hostId }) => hostId)));
});

Then("a relay with {int} requests more is not chosen", function(more: number) {
    const candidates = [createCandidate(0, { load: more }), createCandidate(1), createCandidate(2)];
    const chosen = Array.from({ length: 50 }, (_, number) => choose(candidates, number));
    assert.ok(!chosen.includes(candidates[0]!.hostId));
});
