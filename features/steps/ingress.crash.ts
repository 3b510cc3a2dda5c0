import { Given, Then, When } from "@cucumber/cucumber";
import { renderEvent, renderStreamHead, streamEnd } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import type { CallerResponse } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface CrashWorld extends IngressWorld {
    crashedMs: number[];
    deadlyReceivedMs: number[];
    sound: { readonly sentMs: number; readonly answer: CallerResponse; }[];
}

const contactMs = 3_000;

Given(
    "engines that crash for {int} ms when they begin to answer a request with the part {string}",
    function(this: CrashWorld, downMs: number, part: string) {
        this.crashedMs = [];
        this.deadlyReceivedMs = [];
        for (const engine of this.ingress.engines) {
            engine.behaviour = (received, { send }) => {
                const isDeadly = received.headers["x-filbertrelay-prefix-hash"]?.includes(`${part}:`) === true;
                if (isDeadly) {
                    this.deadlyReceivedMs.push(performance.now());
                }
                setTimeout(() => {
                    if (isDeadly && engine.isListening) {
                        this.crashedMs.push(performance.now());
                        engine.crash(downMs);
                    }
                    else if (!isDeadly) {
                        send(renderStreamHead(received) + renderEvent(1) + streamEnd);
                    }
                }, 20);
            };
        }
    },
);

When("callers send requests with and without that part for {int} s", async function(this: CrashWorld, seconds: number) {
    this.sound = [];
    const sent: Promise<unknown>[] = [];
    const startMs = performance.now();
    for (let index = 0; performance.now() - startMs < seconds * 1_000; index += 1) {
        const sentMs = performance.now();
        const parts = ["system", `session-${index % 5}`, `own-${index}`];
        const sound = this.ingress.send("stream", { body: `sound ${index}`, parts });
        sent.push(sound.then(answer => this.sound.push({ sentMs, answer })));
        if (index % 3 === 0) {
            sent.push(
                this.ingress.send("stream", { body: `deadly ${index}`, parts: ["system", "deadly", `own-deadly-${index}`] }),
            );
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    await Promise.all(sent);
});

Then(
    "at most {int} requests with the part reached engines later than {int} ms after the fifth crash",
    function(this: CrashWorld, most: number, afterMs: number) {
        const fifthMs = this.crashedMs[4];
        const late = fifthMs === undefined ? [] : this.deadlyReceivedMs.filter(receivedMs => receivedMs > fifthMs + afterMs);
        assert.ok(late.length <= most, `${late.length} requests; ${this.crashedMs.length} crashes`);
    },
);

Then("the requests without the part that were sent 1 s later than that were answered", function(this: CrashWorld) {
    const fromMs = (this.crashedMs[4] ?? this.crashedMs.at(-1) ?? 0) + contactMs + 1_000;
    const late = this.sound.filter(({ sentMs }) => sentMs > fromMs);
    assert.ok(late.length >= 20, `${late.length} requests`);
    assert.deepEqual(late.filter(({ answer: { status, isComplete } }) => status !== 200 || !isComplete), []);
});
