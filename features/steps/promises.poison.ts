import { Given, Then, When } from "@cucumber/cucumber";
import { callModel } from "@filbertrelay/client";
import type { ModelAnswer } from "@filbertrelay/client";
import assert from "node:assert/strict";
import { customerKey, limitMs, PromiseFleet } from "./promises.fleet.js";
import { stepTimeout } from "./promises.js";
import type { PromiseWorld } from "./promises.js";

interface PoisonWorld extends PromiseWorld {
    poisonAnswers: ModelAnswer[];
}

Given(
    "a fleet with {int} engines that crash on the marker {string} and seed {int}",
    stepTimeout,
    async function(this: PoisonWorld, engines: number, marker: string, seed: number) {
        this.promises = await PromiseFleet.launch(seed, engines, { standIns: { "model-engine": ["--crash-marker", marker] } });
    },
);

When(
    "the customer {string} sends the question {string} {int} times under new ids",
    stepTimeout,
    async function(this: PoisonWorld, customer: string, content: string, times: number) {
        this.poisonAnswers = [];
        const domains = this.promises.fleet.configuration.failureDomains;
        for (let index = 0; index < times; index++) {
            const answer = await callModel(this.promises.context({ failureDomain: domains[index % domains.length]! }), {
                customerKey: customerKey(customer),
                model: "assistant",
                messages: [{ role: "user", content }],
                maxTokens: 50,
                seed: index,
                deadlineMs: limitMs,
                patienceMs: limitMs,
            });
            this.poisonAnswers.push(answer);
        }
    },
);

Then("at most {int} engines were lost and at least {int}", function(this: PoisonWorld, most: number, least: number) {
    const lost = [...this.promises.fleet.hosts.values()].filter(host => host.role === "engine" && !host.process.isRunning);
    assert.ok(lost.length >= least && lost.length <= most, `${lost.length} engines were lost.`);
});

Then("the last submission of the poison request was refused", function(this: PoisonWorld) {
    const last = this.poisonAnswers.at(-1)!;
    assert.equal(last.error?.code, "stream.crashesEndpoints");
    assert.ok(this.poisonAnswers.every(answer => answer.tokens.length === 0 && answer.outcome !== "complete"));
});
