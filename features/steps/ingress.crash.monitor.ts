import { Given, Then, When } from "@cucumber/cucumber";
import { CrashMonitor } from "@filbertrelay/ingress";
import { createSystemClock } from "@filbertrelay/kernel";
import { contentTrait, createCrashId, createQuarantine } from "@filbertrelay/policy";
import type { EndpointCrash } from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { describeEndpoint } from "../support/relayhost.js";

interface MonitorWorld {
    monitor: CrashMonitor;
    isServing: boolean;
    crashes: EndpointCrash[];
}

const endpoint = describeEndpoint({ address: "127.0.0.1:1" });

Given(
    "a monitor of crashes to which the cause of a failure is certain after {int} ms",
    function(this: MonitorWorld, certainMs: number) {
        this.isServing = true;
        this.crashes = [];
        const quarantine = createQuarantine({ isTrialHost: () => true });
        this.monitor = new CrashMonitor({
            clock: createSystemClock(),
            log: { write: () => undefined },
            metrics: { recordCrash: () => undefined },
            endpoints: { isServing: () => this.isServing },
            quarantine: { ...quarantine, recordCrash: crash => void this.crashes.push(crash) },
            probe: () => Promise.resolve("refused"),
            confirmFailure: () => delay(certainMs, true),
            recordRefusal: () => undefined,
        });
    },
);

function interrupt({ monitor }: MonitorWorld): Promise<void> {
    return monitor.recordInterruption(endpoint, { content: contentTrait("order"), parts: [], sentMs: 0 });
}

When(
    "an endpoint crashes with a request in progress and registers its next process after {int} ms",
    async function(this: MonitorWorld, afterMs: number) {
        const examined = interrupt(this);
        await delay(afterMs);
        this.isServing = false;
        await examined;
    },
);

When("an endpoint that leaves refuses connections with a request in progress", async function(this: MonitorWorld) {
    this.isServing = false;
    await interrupt(this);
});

Then("the crash of its former process counts", function(this: MonitorWorld) {
    const { endpointId, startedAtMs } = endpoint;
    assert.deepEqual(this.crashes.map(({ crashId }) => crashId), [createCrashId(endpointId, startedAtMs)]);
});

Then("no crash counts", function(this: MonitorWorld) {
    assert.deepEqual(this.crashes, []);
});
