import { Given, Then, When } from "@cucumber/cucumber";
import { renderResponse } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import type { CallerResponse } from "../support/ingress.js";
import { respondFully } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface LimitWorld extends IngressWorld {
    /** When the first engine received each request. */
    receivedMs: number[];
    responses: CallerResponse[];
}

/** Answers in full with one more header. */
function respondWith(header: string, onRequest: () => void): EngineBehaviour {
    return (received, { send }) => {
        onRequest();
        send(renderResponse(received).replace("\r\nContent-Length", `\r\n${header}\r\nContent-Length`));
    };
}

Given("engines of which the first names a limit of {float} request(s) a second", function(this: LimitWorld, perSecond: number) {
    this.receivedMs = [];
    const limited = respondWith(`Server-Limit: ${perSecond}`, () => this.receivedMs.push(performance.now()));
    this.ingress.setBehaviours(limited, respondFully);
});

When("a caller sends {int} requests a second for {int} s", async function(this: LimitWorld, perSecond: number, seconds: number) {
    const sent: Promise<CallerResponse>[] = [];
    for (let index = 0; index < perSecond * seconds; index += 1) {
        sent.push(this.ingress.send("idempotent"));
        await new Promise(resolve => setTimeout(resolve, 1_000 / perSecond));
    }
    this.responses = await Promise.all(sent);
});

Then(
    "from {int} s after the limit was named no {int} s hold more than {int} requests to the first engine",
    function(this: LimitWorld, afterSeconds: number, spanSeconds: number, most: number) {
        const fromMs = (this.receivedMs[0] ?? 0) + afterSeconds * 1_000;
        assert.ok(this.receivedMs.length > 0);
        for (const endMs of this.receivedMs.filter(receivedMs => receivedMs >= fromMs)) {
            const count = this.receivedMs.filter(atMs => atMs <= endMs && atMs > endMs - spanSeconds * 1_000).length;
            assert.ok(count <= most, `${count} requests`);
        }
    },
);

Then("all requests are answered", function(this: LimitWorld) {
    assert.deepEqual(this.responses.filter(({ status }) => status !== 200), []);
});
