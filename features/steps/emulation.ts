import { Given, Then, When } from "@cucumber/cucumber";
import { EmulatedEngine, measureRouting, measureWave, prepareDeployment } from "@filbertrelay/emulator";
import type { PreparedDeployment, RoutingMeasurement, RoutingStrategy, StreamMeasurement } from "@filbertrelay/emulator";
import { createVirtualClock } from "@filbertrelay/kernel";
import { hashPrefixBlocks } from "@filbertrelay/policy";
import assert from "node:assert/strict";

interface EmulationWorld {
    offsets: number[];
    measured: Map<string, RoutingMeasurement>;
    waves: StreamMeasurement[];
}

Given("an emulated engine that crashes after 5 tokens of an answer", function(this: EmulationWorld) {
    this.offsets = [];
});

When("another engine resumes behind the forwarded tokens", function(this: EmulationWorld) {
    const clock = createVirtualClock();
    const [first, second] = [new EmulatedEngine({ clock }), new EmulatedEngine({ clock })];
    const prompt = hashPrefixBlocks([{ role: "user", content: "x".repeat(3000) }]);
    const submission = { requestId: "r", prompt, maxTokens: 12, answerTokens: 12, priority: 1 };
    const token = (offset: number): void => {
        this.offsets.push(offset);
        if (offset === 5) {
            clock.after(0, () => first.crash());
        }
    };
    const end = ({ reason }: { reason: string; }): void => {
        if (reason === "crashed") {
            second.submit({ ...submission, knownTokens: this.offsets.length }, { token, end: () => undefined });
        }
    };
    first.submit(submission, { token, end });
    clock.advance(60_000);
});

Then("the caller has every token once and in order", function(this: EmulationWorld) {
    assert.deepEqual(this.offsets, [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12]);
});

const prepared = new Map<string, PreparedDeployment>();

function prepare(deployment: string): PreparedDeployment {
    const known = prepared.get(deployment) ?? prepareDeployment(deployment, "reported", 1);
    prepared.set(deployment, known);
    return known;
}

When(
    "routing is measured for {string} at {int} percent with {string}",
    { timeout: 60_000 },
    function(this: EmulationWorld, deployment: string, percent: number, strategies: string) {
        const measure = (strategy: string): [string, RoutingMeasurement] => [
            strategy,
            measureRouting(prepare(deployment), percent / 100, strategy as RoutingStrategy, 1),
        ];
        this.measured = new Map(strategies.split(",").map(measure));
    },
);

Then("the policy recomputes at most {float} times the oracle's tokens", function(this: EmulationWorld, ratio: number) {
    const [own, oracle] = [this.measured.get("policy")!.recomputedTokens, this.measured.get("oracle")!.recomputedTokens];
    assert.ok(own <= ratio * oracle, `The policy recomputed ${own} tokens, the oracle ${oracle}.`);
});

Then("the policy's p95 of the first token is below that of least load", function(this: EmulationWorld) {
    assert.ok(this.measured.get("policy")!.firstTokenMs.p95 < this.measured.get("leastWithOwn")!.firstTokenMs.p95);
});

When(
    "a failure domain of {string} is reclaimed with {int} s of notice",
    { timeout: 60_000 },
    function(this: EmulationWorld, deployment: string, seconds: number) {
        this.waves = (["plan", "reprefill"] as const).map(strategy =>
            measureWave(prepare(deployment), 1000 * seconds, strategy, 1)
        );
    },
);

Then("no token is lost or repeated and the plan recomputes fewer tokens", function(this: EmulationWorld) {
    const [plan, reprefill] = this.waves;
    assert.equal(plan!.faultyTokens + reprefill!.faultyTokens, 0);
    assert.ok(plan!.recomputedTokens < reprefill!.recomputedTokens);
});
