import { Given, Then, When } from "@cucumber/cucumber";
import { beginRollout, decideRolloutStep, HostRollout } from "@filbertrelay/policy/ingress";
import type { RolloutRecord } from "@filbertrelay/policy/ingress";
import assert from "node:assert/strict";
import { playRollout, rollbackMs } from "../support/rolloutsimulation.js";
import type { RolloutDayResult, RolloutFault, VersionBehaviour } from "../support/rolloutsimulation.js";

interface RolloutWorld {
    good: RolloutDayResult[];
    bad: RolloutDayResult[];
    refusal: RolloutRecord | undefined;
    rolloutHost: HostRollout;
}

const limitMs = 60_000;
const isFaulty: VersionBehaviour = ({ draw }) => draw < 0.04 ? "failed" : draw < 0.08 ? "slow" : "good";
const behaviours: Readonly<Record<string, VersionBehaviour>> = {
    good: () => "good",
    "bad at once": ({ draw }) => draw < 0.3 ? "failed" : "good",
    "bad after 10 s": ({ draw, sinceMs }) => sinceMs > 14_000 && draw < 0.3 ? "failed" : "good",
    "bad under load": ({ draw, running }) => running > 3 && draw < 0.6 ? "failed" : "good",
    "bad on one route": ({ draw, route }) => route === "rare" && draw < 0.3 ? "failed" : "good",
    slower: ({ draw }) => draw < 0.3 ? "slow" : "good",
    flapping: ({ draw, sinceMs }) => sinceMs % 9_000 > 7_000 && draw < 0.4 ? "failed" : "good",
    "as faulty as the former one": isFaulty,
};
const endpoints = ["v1", "v2"].map(softwareVersion => ({ endpointId: `e-${softwareVersion}`, softwareVersion }));

function createHost(): HostRollout {
    return new HostRollout({ exposureRatio: 0.5, rollbackMs, firstCredit: 0 });
}

/** Sends requests for a second, 20 ms apart; returns how many went to the target. */
function countExposed(host: HostRollout, fromMs: number): number {
    const chosen = Array.from({ length: 50 }, (_, index) => {
        const nowMs = fromMs + index * 20;
        const [endpoint] = host.select(endpoints, { nowMs, copyConfirmedMs: nowMs, isContinued: false, isRepeated: false });
        host.recordSent(endpoint?.softwareVersion ?? "", true);
        return endpoint?.softwareVersion;
    });
    return chosen.filter(version => version === "v2").length;
}

When("{int} roll-outs are played of a version that is {}", function(this: RolloutWorld, days: number, version: string) {
    const behaviour = behaviours[version]!;
    const isSame = version === "as faulty as the former one";
    const played = Array.from(
        { length: days },
        (_, index) => playRollout({ seed: index + 1, behaviour, ...(isSame ? { formerBehaviour: behaviour } : {}) }),
    );
    this.good = version === "good" || isSame ? played : [];
    this.bad = version === "good" || isSame ? [] : played;
});

When("{int} roll-outs are played of a good version at 2 requests a second", function(this: RolloutWorld, days: number) {
    this.good = Array.from(
        { length: days },
        (_, index) => playRollout({ seed: index + 1, behaviour: behaviours["good"]!, requestsPerSecond: 2 }),
    );
});

When(
    "{int} roll-outs of a good and of a bad version are played with {string} at various times",
    function(this: RolloutWorld, days: number, kind: RolloutFault["kind"]) {
        const play = (behaviour: VersionBehaviour, seed: number): RolloutDayResult => {
            // From before the first results to the last steps.
            const atMs = 5_000 + 20 * Math.floor(seed / days * 2_450);
            return playRollout({ seed, behaviour, faults: [{ kind, atMs, forMs: 5_000 }] });
        };
        const seeds = Array.from({ length: days }, (_, index) => index + 1);
        this.good = seeds.map(seed => play(behaviours["good"]!, seed));
        this.bad = seeds.map(seed => play(behaviours[seed % 2 === 0 ? "bad after 10 s" : "bad on one route"]!, seed));
    },
);

Then(/^each ends as (completed|reverted) before its time limit$/, function(this: RolloutWorld, state: string) {
    for (const { record, endedMs } of [...this.good, ...this.bad]) {
        assert.equal(record.state, state, record.reason);
        assert.ok(endedMs <= limitMs, `It ended after ${endedMs} ms.`);
    }
});

Then("the good ones end as completed and the bad ones as reverted before the time limit", function(this: RolloutWorld) {
    assert.deepEqual(this.good.map(({ record }) => record.state), this.good.map(() => "completed"));
    assert.deepEqual(this.bad.map(({ record }) => record.state), this.bad.map(() => "reverted"));
    [...this.good, ...this.bad].forEach(({ endedMs }) => assert.ok(endedMs <= limitMs));
});

Then("all end as reverted for the later order's target", function(this: RolloutWorld) {
    for (const { record } of [...this.good, ...this.bad]) {
        assert.equal(`${record.state} ${record.target}`, "reverted v3");
        assert.match(record.reason ?? "", /0 of 10 endpoints serve/);
    }
});

Then("at most a tenth of the requests went to the target before it was completed", function(this: RolloutWorld) {
    for (const { exposed, requests } of this.bad) {
        assert.ok(exposed <= requests / 10, `${exposed} of ${requests}`);
    }
    for (const { exposedUnproven, requests } of this.good) {
        assert.ok(exposedUnproven <= requests / 10, `${exposedUnproven} of ${requests}`);
    }
});

Then("no request went to a bad target later than 5 s after its 50th bad answer", function(this: RolloutWorld) {
    for (const { fiftiethBadMs = Infinity, lastSentMs } of this.bad) {
        assert.ok(lastSentMs <= fiftiethBadMs + rollbackMs, `${lastSentMs} after ${fiftiethBadMs}`);
    }
});

Then("each is reverted as not proven in time", function(this: RolloutWorld) {
    for (const { record, endedMs } of this.good) {
        assert.match(`${record.state}: ${record.reason}`, /^reverted: not proven in time: too few answers/);
        assert.ok(endedMs <= limitMs);
    }
});

When(
    "a roll-out of {string} to {string} within {int} s is ordered",
    function(this: RolloutWorld, service: string, target: string, seconds: number) {
        const order = { service, target, durationMs: seconds * 1_000, era: 1, revision: 5 };
        const circumstances = { services: ["s"], runningVersions: new Set(["v1"]), startMs: 4_000 };
        const seen = { nowMs: 0, base: {}, target: {}, targetEndpoints: [], baseEndpoints: 4, requiredEndpoints: 2 };
        this.refusal = decideRolloutStep({ record: undefined, order, circumstances, seen, exposureRatio: 0.1 });
    },
);

Then("it is refused for its {string}", function(this: RolloutWorld, field: string) {
    assert.equal(this.refusal?.state, "reverted");
    assert.equal(this.refusal.field, field);
    assert.notEqual(this.refusal.reason, undefined);
});

Given("a host that knows a step of a roll-out", function(this: RolloutWorld) {
    const order = { service: "s", target: "v2", durationMs: limitMs };
    const place = { nowMs: 0, era: 1, revision: 5, formerVersions: ["v1"], barredVersions: [] };
    this.rolloutHost = createHost();
    this.rolloutHost.setRecord({ ...beginRollout(order, place), share: 0.4, endpoints: ["e-v2"] }, 0);
});

Given("a host that knows no roll-out", function(this: RolloutWorld) {
    this.rolloutHost = createHost();
});

Then("it sends the target a part of its requests within 2.4 s of the step and none later", function(this: RolloutWorld) {
    assert.ok(countExposed(this.rolloutHost, 1_400) > 10);
    assert.equal(countExposed(this.rolloutHost, 2_600), 0);
});

Then("it sends the target nothing while its own results have waited 2 s to be reported", function(this: RolloutWorld) {
    const { record } = this.rolloutHost;
    this.rolloutHost.recordResult("chat", "v2", { type: "answered", endpointId: "e-v2", durationMs: 50 }, 4_000);
    this.rolloutHost.setRecord({ ...record!, step: record!.step + 1 }, 6_000);
    assert.equal(countExposed(this.rolloutHost, 6_000), 0);
    assert.notEqual(this.rolloutHost.takeReport(), undefined);
    this.rolloutHost.endReport(7_000, true);
    assert.ok(countExposed(this.rolloutHost, 7_000) > 10);
});

Then("a host that knows an order or a status but no step sends the target nothing", function() {
    for (const isInProgress of [false, true]) {
        const host = createHost();
        host.setAnnounced({ version: "v2", knownBefore: new Set(), isInProgress });
        assert.equal(countExposed(host, 0), 0);
    }
});

Then("it may send requests to endpoints of all versions", function(this: RolloutWorld) {
    const request = { nowMs: 0, copyConfirmedMs: 0, isContinued: false, isRepeated: false };
    assert.deepEqual(this.rolloutHost.select(endpoints, request), endpoints);
});
