import { Given, Then } from "@cucumber/cucumber";
import { renderResponse } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import { misbehaveOnce, streamRest } from "./ingress.endpoint.js";
import type { IngressWorld } from "./ingress.endpoint.js";

const isStreamPath = (target: string): boolean => /^\/\w*stream/i.test(target);

/** Answers in full, as an event stream where the request asks for one. */
const answer: EngineBehaviour = (received, connection) =>
    isStreamPath(received.target) ? streamRest(received, connection) : connection.send(renderResponse(received));

/** Changes the bytes with which an engine answers. */
function spoil(change: (bytes: string) => string): EngineBehaviour {
    return (received, connection) => answer(received, { ...connection, send: bytes => connection.send(change(bytes)) });
}

const spoiledAnswers: Readonly<Record<string, (bytes: string) => string>> = {
    "a control byte in a header": bytes => bytes.replace("\r\n", "\r\nX-Spoiled: a\u0001b\r\n"),
};

Given(/^engines of which the first answers with (.+)$/, function(this: IngressWorld, kind: string) {
    const change = spoiledAnswers[kind];
    assert.ok(change !== undefined, `Unknown kind of answer '${kind}'.`);
    this.ingress.setBehaviours(misbehaveOnce(spoil(change), answer));
});

Then("the caller gets {int} with the engine's signature", function(this: IngressWorld, status: number) {
    const [got] = this.answers;
    assert.equal(got!.status, status);
    assert.equal(got!.headers["x-filbertrelay-response-signature"], `signed-${got!.requestId}`);
});
