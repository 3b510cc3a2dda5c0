import { After, Given, Then, When } from "@cucumber/cucumber";
import { success } from "@filbertrelay/kernel";
import { describeEngine, renderResponse, StandinEngine } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import { IngressFixture, respondFully, waitFor } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface OrderWorld extends IngressWorld {
    rolloutTarget: StandinEngine;
    /** Requests at engines of either version before the target got all of them. */
    before: { readonly former: number; readonly target: number; };
}

const statusKey = "status/rollout/records";
const promises = `exposureRatio = 0.4
rollbackMs = 5000
leadPauseMs = 1500
[duties]
address = "127.0.0.1:1"
usage = false
scaling = false`;
const failing: EngineBehaviour = (received, { send }) => send(renderResponse(received, { status: 500 }));

function readStatus(world: OrderWorld): Readonly<Record<string, unknown>> {
    return JSON.parse(world.ingress.store.read(statusKey) ?? "{}") as Record<string, unknown>;
}

function countReceived(world: OrderWorld): OrderWorld["before"] {
    return { former: world.ingress.received().length, target: world.rolloutTarget.requests.length };
}

function order(world: OrderWorld, target: string): void {
    world.ingress.store.put("op/rollout/records", { backend: "records", target, durationS: 8 });
}

/** Sends requests one after the other while a condition holds. */
async function sendWhile(world: OrderWorld, condition: () => boolean): Promise<void> {
    const untilMs = performance.now() + 12_000;
    while (condition()) {
        assert.ok(performance.now() < untilMs, `The status is ${world.ingress.store.read(statusKey)}.`);
        await Promise.all([world.ingress.send("idempotent"), new Promise(resolve => setTimeout(resolve, 10))]);
    }
}

Given("an ingress with roll-outs whose services run version {string}", async function(this: OrderWorld, version: string) {
    this.ingress = new IngressFixture();
    this.answers = [];
    this.rolloutTarget = new StandinEngine(respondFully);
    const done = (): Promise<ReturnType<typeof success<undefined>>> => Promise.resolve(success(undefined));
    const createDuties = () => ({ reportUsage: done, orderEndpoints: done });
    await this.ingress.start({ hasConfiguration: true, promises, versions: [version, version], environment: { createDuties } });
    await waitFor(() => Promise.resolve(this.ingress.store.read("filbertrelay/lead") !== undefined));
});

When("the operator orders a roll-out of records to {string}", async function(this: OrderWorld, target: string) {
    order(this, target);
    await waitFor(() => Promise.resolve(readStatus(this)["state"] !== undefined));
});

When(
    /^the operator orders a roll-out of records to "(.*)" and a (good|failing) endpoint of it starts$/,
    async function(this: OrderWorld, version: string, quality: string) {
        order(this, version);
        await waitFor(() => Promise.resolve(readStatus(this)["state"] === "in_progress"));
        this.rolloutTarget.behaviour = quality === "good" ? respondFully : failing;
        await this.rolloutTarget.start();
        this.ingress.store.put(
            "servers/new-0",
            describeEngine(this.rolloutTarget, { service: "records", state: "ready", version }),
        );
    },
);

When("a caller sends requests until the roll-out has ended", async function(this: OrderWorld) {
    await sendWhile(this, () => readStatus(this)["state"] === "in_progress" && readStatus(this)["phase"] !== "moving");
    this.before = countReceived(this);
    await sendWhile(this, () => readStatus(this)["state"] === "in_progress");
});

Then(
    /^its status is "(.*)" with the target "(.*)" and (no|a) reason$/,
    function(this: OrderWorld, state: string, target: string, reason: string) {
        const status = readStatus(this);
        assert.deepEqual([status["state"], status["target"]], [state, target], JSON.stringify(status));
        assert.equal(status["reason"] !== undefined, reason === "a", JSON.stringify(status));
    },
);

Then("at most two fifths of the requests went to the target before it moved", function(this: OrderWorld) {
    const { former, target } = this.before;
    assert.ok(target > 0 && target <= (former + target) * 0.4, `${target} and ${former}`);
});

Then("requests now go to {string} alone", async function(this: OrderWorld, version: string) {
    // The status may be there before this host has taken the step itself.
    await new Promise(resolve => setTimeout(resolve, 200));
    const before = countReceived(this);
    const answers = await Promise.all(Array.from({ length: 10 }, () => this.ingress.send("idempotent")));
    assert.deepEqual(answers.map(({ status }) => status), answers.map(() => 200));
    const after = countReceived(this);
    const [former, target] = [after.former - before.former, after.target - before.target];
    assert.deepEqual([former, target], version === "v2" ? [0, 10] : [10, 0]);
});
After(function(this: Partial<OrderWorld>) {
    this.rolloutTarget?.stop();
});
