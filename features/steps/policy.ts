import { Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { CustomerId, EndpointId, FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";

// A failed property prints this seed with the counterexample.
const seed = 20_261_204;
const endpoint = (name: string | number): EndpointId => brandAs<EndpointId>(`e${name}`);
const customer = (name: string): CustomerId => brandAs<CustomerId>(name);
const host = (name: string | number): HostId => brandAs<HostId>(`h${name}`);

function check<T>(arbitrary: fc.Arbitrary<T>, predicate: (value: T) => void): void {
    fc.assert(fc.property(arbitrary, predicate), { seed, numRuns: 200 });
}

interface PolicyWorld {
    index: policy.PrefixIndex;
    admission: policy.Admission;
    tracker: policy.SuspectTracker;
    allowedRetries: number;
    check: () => void;
}

Given("a prefix index of at most {int} blocks per endpoint", function(this: PolicyWorld, maximumBlocks: number) {
    this.index = policy.createPrefixIndex({ maximumBlocks });
});

When("random dispatches and cache events are applied to 3 endpoints", function(this: PolicyWorld) {
    const block = fc.integer({ min: 0, max: 30 }).map(String);
    const action = fc.record({
        to: fc.nat(2),
        blocks: fc.array(block, { maxLength: 12 }),
        skip: fc.nat(2),
        kind: fc.constantFrom("stored" as const, "evicted" as const, "dispatch" as const),
    });
    check(fc.array(action, { maxLength: 40 }), actions => {
        const index = policy.createPrefixIndex({ maximumBlocks: 8 });
        const stored = new Set<string>();
        for (const { to, blocks, skip, kind } of actions) {
            if (kind === "dispatch") {
                index.recordDispatch(endpoint(to), blocks);
            }
            else {
                const from = index.lastSequence(endpoint(to)) + 1 + skip;
                index.applyCacheEvents(
                    endpoint(to),
                    blocks.map((name, offset) => ({ sequence: from + offset, kind, block: name })),
                );
            }
            blocks.forEach(name => stored.add(`${to}/${name}`));
            assert.ok(index.size <= 24);
        }
        for (const to of [0, 1, 2]) {
            for (let name = 0; name <= 30; name += 1) {
                const { certainBlocks, uncertainBlocks } = index.match(endpoint(to), [String(name)]);
                assert.ok(certainBlocks + uncertainBlocks === 0 || stored.has(`${to}/${name}`));
            }
        }
    });
});

Then("it never holds more than 24 blocks and never matches a block that was not stored", () => undefined);

When("the cache events {string} of one endpoint are applied", function(this: PolicyWorld, events: string) {
    this.index.applyCacheEvents(endpoint(1), parseEvents(events));
});

function parseEvents(events: string): policy.PrefixCacheEvent[] {
    return events.split(" ").map(event => event.split(":")).map(([sequence, block = ""]) => ({
        sequence: Number(sequence),
        kind: "stored" as const,
        block,
    }));
}

Then(
    "the match of {string} is {int} certain and {int} uncertain blocks",
    function(this: PolicyWorld, blocks: string, certainBlocks: number, uncertainBlocks: number) {
        // Block 'c' was stored after the gap, but its predecessors are uncertain, so it doesn't count as certain either.
        assert.deepEqual(this.index.match(endpoint(1), blocks.split(" ")), { certainBlocks, uncertainBlocks });
    },
);

Then(
    "after the cache event {string} the match of {string} is {int} certain and {int} uncertain blocks",
    function(this: PolicyWorld, event: string, blocks: string, certainBlocks: number, uncertainBlocks: number) {
        this.index.applyCacheEvents(endpoint(1), parseEvents(event));
        assert.deepEqual(this.index.match(endpoint(1), blocks.split(" ")), { certainBlocks, uncertainBlocks });
    },
);

const candidate = fc.record({
    domain: fc.nat(2),
    certainBlocks: fc.nat(20),
    uncertainBlocks: fc.nat(5),
    requests: fc.nat(40),
    waitingPromptTokens: fc.nat(20_000),
    ageMs: fc.oneof(fc.nat(3000), fc.constant(Infinity)),
});

When("random candidates are scored with random exclusions", () => {
    check(fc.record({ list: fc.array(candidate, { maxLength: 8 }), excluded: fc.nat(255), failed: fc.nat(2) }), input => {
        const candidates = input.list.map((entry, number): policy.RoutingCandidate => ({
            endpointId: endpoint(number),
            failureDomain: brandAs<FailureDomainId>(`d${entry.domain}`),
            match: entry,
            load: { ...entry, tokensPerSecond: 6000, batchSlots: 16, slotHoldMs: 3000 },
        }));
        const excluded = new Set(
            candidates.filter((...[, number]) => (input.excluded >> number) % 2 === 1).map(({ endpointId }) => endpointId),
        );
        const failedDomain = brandAs<FailureDomainId>(`d${input.failed}`);
        const prompt = policy.hashPrefixBlocks([{ role: "user", content: "x".repeat(6000) }]);
        const options = { weights: { latency: 1, cost: 1 }, excluded, avoidedFailureDomains: new Set([failedDomain]) };
        const choice = policy.chooseEndpoint(prompt, candidates, options);
        const allowed = candidates.filter(({ endpointId }) => !excluded.has(endpointId));
        assert.equal(choice.ok, allowed.length > 0);
        if (choice.ok) {
            assert.ok(!excluded.has(choice.value.endpointId));
            const hasOther = allowed.some(({ failureDomain }) => failureDomain !== failedDomain);
            assert.ok(!hasOther || choice.value.failureDomain !== failedDomain);
        }
    });
});

Then("no choice is excluded and a failed failure domain is avoided while another has a candidate", () => undefined);

When("300 keys are ranked over 7 endpoints and one endpoint is removed", function(this: PolicyWorld) {
    const endpoints = ["a", "b", "c", "d", "e", "f", "g"];
    const first = (key: number, list: readonly string[]): string | undefined =>
        policy.rankByRendezvous(`k${key}`, list, id => id)[0];
    const keys = Array.from({ length: 300 }, (...[, key]) => key);
    const before = keys.map(key => first(key, endpoints));
    const after = keys.map(key => first(key, endpoints.filter(id => id !== "d")));
    this.check = () => {
        assert.equal(new Set(before).size, endpoints.length);
        keys.forEach(key => assert.ok(before[key] === "d" || before[key] === after[key]));
    };
});

Then("every key of another endpoint keeps its endpoint", function(this: PolicyWorld) {
    this.check();
});

When("subsets of 5 out of 20 endpoints are computed and one endpoint is removed", function(this: PolicyWorld) {
    const endpoints = Array.from({ length: 20 }, (...[, number]) => `e${number}`);
    this.check = () => {
        for (let number = 0; number < 50; number += 1) {
            const before = policy.computeSubset(`h${number}`, endpoints, id => id, { size: 5 });
            const after = policy.computeSubset(`h${number}`, endpoints.filter(id => id !== "e3"), id => id, { size: 5 });
            assert.equal(after.length, 5);
            assert.ok(before.filter(id => id !== "e3").every(id => after.includes(id)));
        }
    };
});

Then("each subset keeps its other endpoints", function(this: PolicyWorld) {
    this.check();
});

When("random demands with weights are allocated", () => {
    const demand = fc.record({ weight: fc.integer({ min: 1, max: 9 }), demand: fc.nat(100) });
    check(fc.record({ list: fc.array(demand, { minLength: 1, maxLength: 8 }), capacity: fc.nat(200) }), ({ list, capacity }) => {
        const demands = list.map((entry, number) => ({ ...entry, name: `c${number}` }));
        const shares = policy.allocateShares(demands, capacity);
        const shareOf = ({ name }: { name: string; }): number => shares.get(name) ?? 0;
        const total = demands.reduce((sum, entry) => sum + shareOf(entry), 0);
        const wanted = demands.reduce((sum, entry) => sum + entry.demand, 0);
        assert.ok(Math.abs(total - Math.min(capacity, wanted)) < 1e-6);
        for (const entry of demands) {
            assert.ok(shareOf(entry) <= entry.demand + 1e-9);
            const isUnmet = shareOf(entry) < entry.demand - 1e-6;
            const highest = Math.max(...demands.map(other => shareOf(other) / other.weight));
            assert.ok(!isUnmet || shareOf(entry) / entry.weight >= highest - 1e-6);
        }
    });
});

Then(
    "the shares fit the capacity, none exceeds its demand, and every unmet demand has the highest share per weight",
    () => undefined,
);

Given("admission control of 4 slots with two customers of equal weight", function(this: PolicyWorld) {
    const customers = ["a", "b"].map(name => ({ customer: customer(name), weight: 1, concurrencyLimit: 10 }));
    this.admission = policy.createAdmission({ hostId: host(1), customers, capacity: 4, defaultSlotHoldMs: 1000 });
});

function requestAdmission(
    admission: policy.Admission,
    name: string,
    number: number,
    deadlineMs: number,
): policy.AdmissionDecision {
    const requestId = `${name}${number}`;
    return admission.request({ requestId, customer: customer(name), priority: 1, deadlineMs, expectedFirstTokenMs: 10 }, 0);
}

Then(
    "a request whose deadline expires before a slot is free is refused with {string} and a retry delay",
    function(this: PolicyWorld, reason: string) {
        const types = [1, 2, 3, 4, 5].map(number => requestAdmission(this.admission, "a", number, 60_000).type);
        assert.deepEqual(types, ["admit", "admit", "admit", "admit", "queue"]);
        const refused = requestAdmission(this.admission, "a", 6, 20);
        assert.ok(refused.type === "refuse" && refused.reason === reason && refused.retryAfterMs > 0);
        this.admission.finish("a1", 500);
        assert.deepEqual(this.admission.poll(500), [{ requestId: "a5", decision: { type: "admit" } }]);
    },
);

Then("the usage of a host that stops publishing counts until it has departed", function(this: PolicyWorld) {
    this.admission.updateShares([{ hostId: host(2), customers: { b: { running: 10, waiting: 0 } } }]);
    this.admission.updateShares([]);
    assert.equal(this.admission.localLimit(customer("a")), 2);
    this.admission.updateShares([], new Set([host(2)]));
    assert.equal(this.admission.localLimit(customer("a")), 4);
});

When("1000 first attempts are made, each followed by a retry if allowed", function(this: PolicyWorld) {
    const budget = policy.createRetryBudget({ ratio: 0.1 });
    this.allowedRetries = 0;
    for (let attempt = 0; attempt < 1000; attempt += 1) {
        budget.recordAttempt(customer("a"), "model");
        this.allowedRetries += budget.tryRetry(customer("a"), "model") ? 1 : 0;
    }
});

Then("at most {int} retries were allowed", function(this: PolicyWorld, limit: number) {
    assert.ok(this.allowedRetries <= limit && this.allowedRetries >= 100);
});

When("random interruptions are planned", () => {
    const interruption = fc.record({
        cause: fc.constantFrom("stalled", "connectionLost", "crashed", "reclaimed", "refused"),
        promptTokens: fc.nat(9000),
        forwardedTokens: fc.nat(500),
        reconnects: fc.nat(2),
        attemptsElsewhere: fc.nat(3),
        remainingMs: fc.integer({ min: 501, max: 60_000 }),
        retryAllowed: fc.boolean(),
    });
    check(interruption, input => {
        const plan = policy.planRecovery({ ...input, endpointId: endpoint(1) } as policy.InterruptedStream);
        const mayStillRun = input.cause === "stalled" || input.cause === "connectionLost";
        assert.notEqual(plan.action, "fail");
        assert.equal(plan.action === "reconnect", mayStillRun && input.reconnects === 0);
        if (plan.action === "resumeElsewhere") {
            assert.equal(plan.offset, input.forwardedTokens);
            assert.equal(plan.recomputedTokens, input.promptTokens + input.forwardedTokens);
        }
        assert.ok(plan.action !== "wait" || (input.forwardedTokens === 0 && !input.retryAllowed));
    });
});

Then(
    "a stalled or disconnected stream reconnects once, a started one resumes after its last token, and none fails early",
    () => undefined,
);

When("random streams are planned with random notice", () => {
    const stream = fc.record({
        promptTokens: fc.nat(12_000),
        generatedTokens: fc.nat(400),
        remainingMs: fc.nat(40_000),
        cachedElsewhereTokens: fc.nat(12_000),
    });
    check(fc.record({ list: fc.array(stream, { maxLength: 20 }), noticeMs: fc.nat(30_000) }), ({ list, noticeMs }) => {
        const streams = list.map((entry, number) => ({ ...entry, requestId: `r${number}` }));
        const options = { noticeMs, moveOverheadMs: 100, moveTokensPerSecond: 10_000, prefillTokensPerSecond: 6000 };
        const { steps } = policy.planEngineReclaim(streams, options);
        assert.deepEqual(steps.map(step => step.requestId).sort(), streams.map(entry => entry.requestId).sort());
        for (const step of steps.filter(({ action }) => action === "move")) {
            const moved = streams.find(entry => entry.requestId === step.requestId)!;
            assert.ok(step.startMs + 100 + (moved.promptTokens + moved.generatedTokens) / 10 <= noticeMs);
        }
    });
});

Then("every stream has one step and no move ends after the notice", () => undefined);

When("random crashes are recorded at 3 hosts and exchanged in random order", () => {
    const crash = fc.record({ at: fc.nat(2), crash: fc.nat(5), fingerprint: fc.nat(3) });
    check(fc.record({ crashes: fc.array(crash, { maxLength: 12 }), order: fc.array(fc.nat(8), { maxLength: 12 }) }), input => {
        const trackers = [0, 1, 2].map(number => policy.createSuspectTracker({ hostId: host(number) }));
        const crashes = new Map<string, Set<number>>();
        for (const { at, crash: number, fingerprint } of input.crashes) {
            trackers[at]!.recordCrash(endpoint(number), `c${number}`, [`f${fingerprint}`], 1000);
            crashes.set(`f${fingerprint}`, (crashes.get(`f${fingerprint}`) ?? new Set()).add(number));
        }
        const everyPair = [0, 1, 2, 3, 4, 5, 6, 7, 8];
        for (const pair of [...input.order, ...everyPair, ...everyPair]) {
            trackers[Math.floor(pair / 3)]!.merge(trackers[pair % 3]!.entries(1000), 1000);
        }
        for (const tracker of trackers) {
            assert.equal(tracker.entries(1000).length, crashes.size);
            for (const [fingerprint, known] of crashes) {
                assert.equal(tracker.decide(fingerprint, 1000).type, known.size >= 2 ? "reject" : "isolate");
                assert.equal(tracker.decide(fingerprint, 601_001).type, "run");
            }
        }
    });
});

Then("all hosts agree, and exactly the fingerprints with two crashes are rejected for 10 minutes", () => undefined);

Given("a tracker with the suspect {string} running in isolation", function(this: PolicyWorld, fingerprint: string) {
    this.tracker = policy.createSuspectTracker({ hostId: host(1) });
    this.tracker.recordCrash(endpoint(1), "c1", [fingerprint], 0);
    assert.equal(this.tracker.decide(fingerprint, 0).type, "isolate");
    assert.ok(this.tracker.startIsolated(fingerprint, endpoint(2), 0));
    assert.equal(this.tracker.decide(fingerprint, 0).type, "wait");
});

When(
    "the endpoint crashes with {string} and {string} in progress",
    function(this: PolicyWorld, suspect: string, other: string) {
        assert.deepEqual(this.tracker.recordCrash(endpoint(2), "c2", [suspect, other], 10), [suspect]);
    },
);

Then("{string} is rejected and {string} may run", function(this: PolicyWorld, suspect: string, other: string) {
    assert.equal(this.tracker.decide(suspect, 20).type, "reject");
    assert.equal(this.tracker.decide(other, 20).type, "run");
});

When("random offers are placed", () => {
    const prices = fc.array(
        fc.record({ reclaimable: fc.integer({ min: 10, max: 60 }), onDemand: fc.integer({ min: 40, max: 120 }) }),
        {
            minLength: 2,
            maxLength: 3,
        },
    );
    check(fc.record({ prices, requiredEngines: fc.integer({ min: 1, max: 6 }) }), ({ prices: list, requiredEngines }) => {
        const offers = list.flatMap(({ reclaimable, onDemand }, number): policy.HostOffer[] => {
            const base = { failureDomain: `d${number}`, hostClass: "small", enginesPerHost: 1 };
            return [{ ...base, purchase: "reclaimable", price: reclaimable }, { ...base, purchase: "onDemand", price: onDemand }];
        });
        const placement = policy.planPlacement(offers, { requiredEngines });
        assert.ok(placement.ok);
        assert.ok(placement.value.enginesAfterLoss >= requiredEngines);
        assert.equal(placement.value.price, cheapestByEnumeration(list, requiredEngines));
    });
});

/** Tries all counts of reclaimable hosts per failure domain and adds the cheapest on-demand hosts for the rest. */
function cheapestByEnumeration(list: readonly { reclaimable: number; onDemand: number; }[], required: number): number {
    const onDemand = Math.min(...list.map(entry => entry.onDemand));
    const search = (counts: readonly number[]): number => {
        if (counts.length < list.length) {
            return Math.min(...Array.from({ length: required + 1 }, (...[, count]) => search([...counts, count])));
        }
        const total = counts.reduce((sum, count) => sum + count, 0);
        const onDemandHosts = Math.max(0, required - (total - Math.max(...counts)));
        return onDemandHosts * onDemand + counts.reduce((sum, count, number) => sum + count * list[number]!.reclaimable, 0);
    };
    return search([]);
}

Then("the required engines remain after each loss and no single-offer-per-domain mix is cheaper", () => undefined);

When("random loads are scheduled", () => {
    const loads = fc.array(fc.record({ weightBytes: fc.integer({ min: 1, max: 1e9 }), priority: fc.nat(3) }), { maxLength: 12 });
    const rate = fc.integer({ min: 1e6, max: 1e9 });
    check(fc.record({ loads, storeBytesPerSecond: rate, hostBytesPerSecond: rate }), ({ loads: list, ...rates }) => {
        const scheduled = policy.scheduleLoads(list.map((load, number) => ({ ...load, hostId: `h${number}` })), {
            ...rates,
            nowMs: 0,
        });
        const loadRate = Math.min(rates.storeBytesPerSecond, rates.hostBytesPerSecond);
        for (const { startMs } of scheduled) {
            const active = scheduled.filter(load => load.startMs <= startMs && load.endMs > startMs).length;
            assert.ok(active * loadRate <= rates.storeBytesPerSecond);
        }
    });
});

Then("the loads in progress never exceed the rate of the store", () => undefined);

Then("12 refusals of an offer back off from 2.5 s to at most 5 minutes and a start resets the backoff", () => {
    const backoff = policy.createStartBackoff();
    const waits = Array.from({ length: 12 }, () => backoff.recordRefusal("offer", 0));
    assert.ok(waits[0]! >= 2500 && waits[0]! <= 5000);
    assert.ok(waits.every(wait => wait <= 300_000) && waits.at(-1)! >= 150_000);
    assert.ok(backoff.excluded(waits.at(-1)! - 1).has("offer"));
    backoff.recordStart("offer");
    assert.equal(backoff.excluded(0).size, 0);
});
