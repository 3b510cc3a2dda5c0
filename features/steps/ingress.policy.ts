import { Given, Then, When } from "@cucumber/cucumber";
import type { IngressRoute, Scaling } from "@filbertrelay/configuration";
import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, FailureDomainId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createRandom } from "../support/random.js";

// A failed property prints this seed with the counterexample.
const seed = 20_261_204;

interface IngressPolicyWorld {
    routes: policy.RouteTable;
    budgets: policy.WindowedRetryBudget[];
    events: { readonly atMs: number; readonly isRetry: boolean; }[];
    plans: { readonly input: policy.EndpointPlanInput; readonly plan: ReadonlyMap<string, policy.DomainCounts>; }[];
    required: policy.RequiredEndpoints;
    choices: [string, string][];
    ledger: policy.UsageLedger;
    load: LoadResult;
}

interface LoadResult {
    readonly started: readonly number[];
    readonly refusals: readonly { readonly waitedMs: number; readonly retryAfterMs: number; readonly remainingMs: number; }[];
    readonly busyMs: number;
    readonly durationMs: number;
}

function route(pathPrefix: string): IngressRoute {
    return {
        name: pathPrefix,
        hostname: "shop.example",
        pathPrefix,
        kind: "idempotent",
        targets: [{ service: "orders", weight: 1 }],
        timeLimitMs: 1_000,
        objectiveMs: 500,
        priority: 1,
        maximumAttempts: 2,
        isPublic: false,
        isResumable: false,
    };
}

Given(
    "routes for {string}, {string} and {string} of one host name",
    function(this: IngressPolicyWorld, first: string, second: string, third: string) {
        this.routes = policy.createRouteTable([first, second, third].map(route));
    },
);

Then(
    "{string} matches {string}, {string} matches {string}, {string} matches {string} and another host name matches none",
    function(this: IngressPolicyWorld, a: string, toA: string, b: string, toB: string, c: string, toC: string) {
        for (const [path, prefix] of [[a, toA], [b, toB], [c, toC]] as const) {
            assert.equal(this.routes.find("Shop.example:8080", path)?.pathPrefix, prefix);
        }
        assert.equal(this.routes.find("other.example", "/a/"), undefined);
    },
);

const retryRatio = 0.2;
const extraRetries = 58;
const retryWindowMs = 10_000;

Given("{int} hosts with a retry budget of 0.2 and 58 in 10 s", function(this: IngressPolicyWorld, count: number) {
    this.budgets = Array.from(
        { length: count },
        () =>
            policy.createWindowedRetryBudget({ windowMs: retryWindowMs, ratio: retryRatio, extra: extraRetries, nowMs: -20_000 }),
    );
    this.events = [];
});

When(
    "every request of {int} s fails and is retried while the budget allows",
    function(this: IngressPolicyWorld, seconds: number) {
        for (let atMs = 0; atMs < seconds * 1_000; atMs += 20) {
            const budget = this.budgets[(atMs / 20) % this.budgets.length]!;
            budget.recordRequest("orders", atMs);
            this.events.push({ atMs, isRetry: false });
            while (budget.tryRetry("orders", this.budgets.length, atMs)) {
                this.events.push({ atMs, isRetry: true });
            }
        }
    },
);

Then("no window of 10 s holds more retries than the budget", function(this: IngressPolicyWorld) {
    const lastMs = this.events.at(-1)!.atMs;
    for (let startMs = 0; startMs + retryWindowMs <= lastMs; startMs += 100) {
        const within = this.events.filter(({ atMs }) => atMs >= startMs && atMs < startMs + retryWindowMs);
        const requests = within.filter(({ isRetry }) => !isRetry).length;
        const retries = within.length - requests;
        assert.ok(
            retries <= retryRatio * requests + extraRetries,
            `${retries} retries of ${requests} requests from ${startMs} ms`,
        );
    }
    assert.ok(this.events.some(({ isRetry }) => isRetry));
});

When("plans are made for random limits, prices and loads", function(this: IngressPolicyWorld) {
    this.plans = [];
    const counts = fc.record({ reclaimable: fc.nat(6), onDemand: fc.nat(6) });
    const input = fc.record({
        maximum: fc.integer({ min: 1, max: 6 }),
        required: fc.integer({ min: 1, max: 12 }),
        essential: fc.integer({ min: 1, max: 6 }),
        prices: fc.array(fc.integer({ min: 50, max: 150 }), { minLength: 3, maxLength: 3 }),
        serving: fc.array(counts, { minLength: 3, maxLength: 3 }),
        isScarce: fc.boolean(),
    });
    fc.assert(
        fc.property(input, ({ maximum, required, essential, prices, serving, isScarce }) => {
            const scaling: Scaling = {
                minimum: 1,
                maximum,
                startSeconds: 4,
                reclaimablePriceRatio: 0.22,
                domainPrices: Object.fromEntries(prices.map((price, index) => [`d${index}`, price / 100])),
            };
            const planInput = {
                scaling,
                requiredEndpoints: required,
                essentialEndpoints: Math.min(required, essential),
                serving: new Map(serving.map((entry, index) => [`d${index}`, entry])),
                isScarce,
            };
            this.plans.push({ input: planInput, plan: policy.planEndpoints(planInput) });
        }),
        { seed, numRuns: 300 },
    );
});

Then(
    "the required endpoints remain after the loss of any failure domain, as far as the limits allow",
    function(this: IngressPolicyWorld) {
        for (const { input, plan } of this.plans) {
            const counts = [...plan.values()];
            const reclaimable = counts.map(entry => entry.reclaimable);
            const total = reclaimable.reduce((sum, count) => sum + count, 0);
            const { maximum } = input.scaling;
            assert.ok(counts.every(entry => entry.reclaimable <= maximum && entry.onDemand <= maximum));
            if (counts.every(entry => entry.onDemand === 0)) {
                const remaining = total - Math.max(...reclaimable);
                assert.ok(
                    remaining >= Math.min(input.requiredEndpoints, 2 * maximum),
                    JSON.stringify([input.requiredEndpoints, reclaimable]),
                );
            }
        }
    },
);

Then("on-demand endpoints are planned only while fewer than the essential number serve", function(this: IngressPolicyWorld) {
    for (const { input, plan } of this.plans) {
        const reclaimable = [...input.serving.values()].map(entry => entry.reclaimable);
        const atRisk = input.isScarce ? Math.max(...reclaimable) : 0;
        const serving = reclaimable.reduce((sum, count) => sum + count, 0) - atRisk;
        const onDemand = [...plan.values()].reduce((sum, entry) => sum + entry.onDemand, 0);
        const allowed = Math.max(0, input.essentialEndpoints - serving);
        assert.ok(onDemand <= allowed + plan.size, `${onDemand} planned, ${allowed} allowed`);
        assert.ok(allowed > 0 || onDemand === 0, `${onDemand} planned although enough serve`);
    }
});

function countOnDemand(reclaimable: readonly number[], isScarce: boolean): number {
    const plan = policy.planEndpoints({
        scaling: { minimum: 1, maximum: 4, startSeconds: 4, reclaimablePriceRatio: 0.22, domainPrices: { d0: 1, d1: 1, d2: 1 } },
        requiredEndpoints: 6,
        essentialEndpoints: 4,
        serving: new Map(reclaimable.map((count, index) => [`d${index}`, { reclaimable: count, onDemand: 0 }])),
        isScarce,
    });
    return [...plan.values()].reduce((sum, { onDemand }) => sum + onDemand, 0);
}

Then(
    "with 3 reclaimable endpoints in each of two domains and scarcity, 4 essential ones lead to at least 1 on-demand one",
    function() {
        assert.ok(countOnDemand([3, 3, 0], true) >= 1);
        assert.equal(countOnDemand([3, 3, 0], false), 0);
    },
);

Then("with no endpoint serving, 4 essential ones lead to at least 4 on-demand ones", function() {
    assert.ok(countOnDemand([0, 0, 0], true) >= 4);
    assert.ok(countOnDemand([], false) >= 4);
});

Given("a requirement that holds peaks for 20 s", function(this: IngressPolicyWorld) {
    this.required = policy.createRequiredEndpoints({ targetUtilization: 0.5, minimum: 4, holdMs: 20_000 });
});

When("{int} endpoints are assumed at 0 s and the demand stays at 1", function(this: IngressPolicyWorld, count: number) {
    this.required.assume(count, 0);
});

Then(
    "{int} endpoints are required at {int} s and {int} at {int} s",
    function(this: IngressPolicyWorld, first: number, firstAt: number, second: number, secondAt: number) {
        assert.equal(this.required.update(1, firstAt * 1_000), first);
        assert.equal(this.required.update(1, secondAt * 1_000), second);
    },
);

const idle: policy.EndpointLoad = { running: 0, ownRunning: 0, tokensAhead: 0, waitingTokens: 0 };

function candidate(name: string, state: Partial<policy.EndpointState> = {}): policy.EndpointCandidate {
    return {
        endpointId: brandAs<EndpointId>(name),
        failureDomain: brandAs<FailureDomainId>(`d${Number(name.slice(1)) % 3}`),
        capacity: 64,
        isQuarantined: false,
        observe: () => ({ load: idle, cachedTokens: 0, failureRatio: 0, allowance: Infinity, ...state }),
    };
}

function demand(session: string, values: Partial<policy.EndpointDemand> = {}): policy.EndpointDemand {
    return {
        parts: [{ id: "system", tokens: 2_500 }, { id: session, tokens: 3_700 }, { id: `${session}-own`, tokens: 2_900 }],
        promptTokens: 9_100,
        requestId: session,
        tried: new Set(),
        homeDomain: brandAs<FailureDomainId>("d0"),
        tokenMs: 0.02,
        slotHoldMs: 700,
        objectiveMs: 800,
        isRepeatable: true,
        ...values,
    };
}

When(
    "{int} sessions are placed by two hosts over {int} idle engines",
    function(this: IngressPolicyWorld, sessions: number, engines: number) {
        const names = Array.from({ length: engines }, (_, index) => `e${index}`);
        this.choices = Array.from({ length: sessions }, (_, index) => {
            const choose = (order: readonly string[], domain: string): string =>
                policy.chooseLowestCostEndpoint(
                    order.map(name => candidate(name)),
                    demand(`session-${index}`, { homeDomain: brandAs<FailureDomainId>(domain) }),
                )!.endpointId;
            return [choose(names, "d0"), choose(names.toReversed(), "d1")];
        });
    },
);

Then(
    "both hosts choose the same engine for each, and no engine gets more than {int} sessions",
    function(this: IngressPolicyWorld, most: number) {
        const counts = new Map<string, number>();
        for (const [first, second] of this.choices) {
            assert.equal(first, second);
            counts.set(first, (counts.get(first) ?? 0) + 1);
        }
        assert.ok(Math.max(...counts.values()) <= most, JSON.stringify([...counts]));
    },
);

Given("an engine that has a session cached and 60,000 tokens waiting", function(this: IngressPolicyWorld) {
    const loaded = candidate("e0", {
        cachedTokens: 6_200,
        load: { running: 12, ownRunning: 12, tokensAhead: 60_000, waitingTokens: 60_000 },
    });
    this.choices = [[policy.chooseLowestCostEndpoint([loaded, candidate("e1")], demand("hot"))!.endpointId, "e1"]];
});

Then("a request of the session goes to an idle engine", function(this: IngressPolicyWorld) {
    assert.equal(this.choices[0]![0], this.choices[0]![1]);
});

When("prompts arrive at three times what an engine can compute for 20 s", function(this: IngressPolicyWorld) {
    const tokenMs = 0.02;
    const tokens = 2_500;
    const objectiveMs = 800;
    const deadlineMs = 5_000;
    const durationMs = 20_000;
    const random = createRandom(seed);
    let freeAtMs = 0;
    let busyMs = 0;
    const started: number[] = [];
    const refusals: { waitedMs: number; retryAfterMs: number; remainingMs: number; }[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += 2 * random() * tokens * tokenMs / 3) {
        const waitMs = Math.max(0, freeAtMs - atMs);
        const choice = policy.chooseLowestCostEndpoint(
            [candidate("e0", {
                load: { running: 0, ownRunning: 0, tokensAhead: waitMs / tokenMs, waitingTokens: waitMs / tokenMs },
            })],
            demand("load", { parts: [], promptTokens: tokens }),
        )!;
        const decision = policy.decideStart({
            expectedStartMs: choice.expectedStartMs,
            workMs: 0,
            elapsedMs: 0,
            objectiveMs,
            remainingMs: deadlineMs,
            isTrialDue: false,
        });
        if (decision.started) {
            // The actual time deviates from the estimate by up to 20 percent.
            const workMs = tokens * tokenMs * (0.8 + 0.4 * random());
            freeAtMs = Math.max(atMs, freeAtMs) + workMs;
            busyMs += workMs;
            started.push(freeAtMs - atMs);
        }
        else {
            refusals.push({ waitedMs: 0, retryAfterMs: decision.retryAfterMs, remainingMs: deadlineMs });
        }
    }
    this.load = { started, refusals, busyMs, durationMs };
});

Then(
    "at least {int} percent of the started requests begin within their objective",
    function(this: IngressPolicyWorld, percent: number) {
        const inTime = this.load.started.filter(startMs => startMs <= 800).length;
        assert.ok(inTime >= percent / 100 * this.load.started.length, `${inTime} of ${this.load.started.length}`);
    },
);

Then("every refusal is immediate and has a retry delay within the caller's deadline", function(this: IngressPolicyWorld) {
    assert.ok(this.load.refusals.length > 0);
    for (const { waitedMs, retryAfterMs, remainingMs } of this.load.refusals) {
        assert.equal(waitedMs, 0);
        assert.ok(retryAfterMs > 0 && retryAfterMs <= remainingMs / 3);
    }
});

Then("the engine is busy for at least {int} percent of the time", function(this: IngressPolicyWorld, percent: number) {
    assert.ok(this.load.busyMs >= percent / 100 * this.load.durationMs, `${this.load.busyMs} ms`);
});

Given("a ledger with windows of 5 s", function(this: IngressPolicyWorld) {
    this.ledger = policy.createUsageLedger(5_000);
});

When(
    "a peer reports {int} requests, then {int}, and after a restart {int}",
    function(this: IngressPolicyWorld, first: number, second: number, restarted: number) {
        this.ledger.recordPeerCounts("h1/run-1", { 2: { large: first } });
        this.ledger.recordPeerCounts("h1/run-1", { 2: { large: second } });
        this.ledger.recordPeerCounts("h1/run-2", { 2: { large: restarted } });
    },
);

Then("the total of the window is {int}", function(this: IngressPolicyWorld, total: number) {
    assert.equal(this.ledger.total(2)["large"], total);
});

Then(
    "{int} reclaimable and {int} on-demand endpoints in {int} failure domains give a requirement of {int}",
    (reclaimable: number, onDemand: number, failureDomains: number, required: number) => {
        const initial = { reclaimable, onDemand, failureDomains, targetUtilization: 0.5 };
        assert.equal(policy.estimateInitialRequirement(initial), required);
    },
);
