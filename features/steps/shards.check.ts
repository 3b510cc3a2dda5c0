import { Then, When } from "@cucumber/cucumber";
import type { RuleName } from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { checkSchedules, traceSchedule } from "../../packages/policy/src/shards/check/run.js";
import type { CheckReport } from "../../packages/policy/src/shards/check/run.js";

interface CheckWorld {
    report: CheckReport;
    disabledRules: RuleName[];
}

/** A run usually takes 20 to 30 s, on a busy machine several times as long; the limit only ends a run that hangs. */
const timeout = 600_000;

When(
    "the checker runs {int} schedules from seed {int}",
    { timeout },
    function(this: CheckWorld, schedules: number, seed: number) {
        this.disabledRules = [];
        this.report = checkSchedules({ schedules, seed });
    },
);

When(
    "the checker runs up to {int} schedules from seed {int} with the rule {string} disabled",
    { timeout },
    function(this: CheckWorld, schedules: number, seed: number, rule: string) {
        this.disabledRules = [rule as RuleName];
        this.report = checkSchedules({ schedules, seed, disabledRules: this.disabledRules });
    },
);

Then("no schedule violated an invariant", function(this: CheckWorld) {
    const [first] = this.report.violations;
    const trace = first === undefined ? [] : traceSchedule(first.seed, this.disabledRules, 30);
    assert.equal(first, undefined, `Seed ${first?.seed}: ${first?.violation}\n${trace.join("\n")}`);
    assert.ok(this.report.faults >= 2 * this.report.schedules, "The schedules contain too few faults.");
});

Then("a schedule violated an invariant and its trace can be printed", function(this: CheckWorld) {
    const [first] = this.report.violations;
    assert.ok(first !== undefined, "The checker found no violation although the rule is disabled.");
    assert.ok(traceSchedule(first.seed, this.disabledRules, 10).length > 0);
});
