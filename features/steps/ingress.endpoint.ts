import { After, Given, Then, When } from "@cucumber/cucumber";
import { notExecutedResponse, renderEvent, renderResponse, renderStreamHead, streamEnd } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import { IngressFixture, routeTimeoutMs, waitFor } from "../support/ingress.js";
import type { CallerResponse } from "../support/ingress.js";

export interface IngressWorld {
    ingress: IngressFixture;
    answers: CallerResponse[];
    closedAfterMs: number | undefined;
}

Given("an ingress with a store stand-in and two engines of each service", async function(this: IngressWorld) {
    this.ingress = new IngressFixture();
    this.answers = [];
    await this.ingress.start({ hasConfiguration: true });
});

Given("an ingress whose store has no configuration", async function(this: IngressWorld) {
    await this.ingress.stop();
    this.ingress = new IngressFixture();
    this.answers = [];
    await this.ingress.start({ hasConfiguration: false });
});

After(async function(this: Partial<IngressWorld>) {
    await this.ingress?.stop();
});

const engineFaults: Readonly<Record<string, EngineBehaviour>> = {
    "a second answer behind the first": (received, { send }) =>
        send(renderResponse(received) + renderResponse(received, { body: "second" })),
    "garbage behind the answer": (received, { send }) => send(`${renderResponse(received)}HTTP/1.1 2`),
    "a late answer while idle": (received, { send }) => {
        send(renderResponse(received));
        setTimeout(() => send(renderResponse(received, { body: "late" })), 5);
    },
    "a body that is cut off": (received, { send, close }) => {
        send(renderResponse(received, { body: "done, but cut" }).slice(0, -4));
        close();
    },
    "a malformed chunk": (received, { send }) => send(`${renderStreamHead(received)}4\r\ndone\r\nzz\r\n\r\n`),
    "a success without signature": (received, { send }) =>
        send(renderResponse(received).replace(/X-Filbertrelay-Response-Signature: .*\r\n/, "")),
    "no answer and a reset": (_, { reset }) => reset(),
    "bytes that are no answer": (_, { send }) => send("\u0000\u0001 no answer\r\n\r\n"),
    "an unframed body and a reset": (received, { send, reset }) => {
        // The reset must arrive together with the last bytes, as it does when an engine crashes.
        send(renderResponse(received).replace(/Content-Length: .*\r\n/, ""));
        setImmediate(reset);
    },
    "an unframed body and an orderly close": (received, { send, close }) => {
        send(renderResponse(received).replace(/Content-Length: .*\r\n/, ""));
        close();
    },
    "a 503 without the not-executed header": (received, { send }) => send(renderResponse(received, { status: 503 })),
};

Given(/^engines that answer with (.+)$/, function(this: IngressWorld, fault: string) {
    if (fault === "a late second answer before the next") {
        // The duplicate response to a request is sent just before the response to the next one on the same connection.
        const withheld = new Map<unknown, string>();
        this.ingress.setBehaviours((received, connection) => {
            const key = connection.send;
            connection.send(`${withheld.get(key) ?? ""}${renderResponse(received)}`);
            withheld.set(key, renderResponse(received, { body: "second" }));
        });
        return;
    }
    const behaviour = engineFaults[fault];
    assert.ok(behaviour !== undefined, `Unknown fault '${fault}'.`);
    this.ingress.setBehaviours(behaviour);
});

Given("engines that never answer", function(this: IngressWorld) {
    this.ingress.setBehaviours((_, connection) =>
        connection.onClosed(() => {
            this.closedAfterMs = performance.now();
        })
    );
});

Given("engines that answer after {int} ms", function(this: IngressWorld, delayMs: number) {
    this.ingress.setBehaviours((received, { send }) => void setTimeout(() => send(renderResponse(received)), delayMs));
});

Given("engines that refuse without having run the request", function(this: IngressWorld) {
    this.ingress.setBehaviours((_, { send }) => send(notExecutedResponse));
});

/** The first request misbehaves, whichever engine receives it; later ones behave as `otherwise`. */
export function misbehaveOnce(misbehave: EngineBehaviour, otherwise: EngineBehaviour): EngineBehaviour {
    let isFirst = true;
    return (received, connection) => {
        const behave = isFirst ? misbehave : otherwise;
        isFirst = false;
        behave(received, connection);
    };
}

/** Answers with what is missing of a stream of five events. */
export const streamRest: EngineBehaviour = (received, { send }) => {
    const from = Number(received.headers["last-event-id"] ?? 0) + 1;
    const events = Array.from({ length: 6 - from }, (_, index) => renderEvent(from + index));
    send(renderStreamHead(received) + events.join("") + streamEnd);
};

const respond: EngineBehaviour = (received, { send }) => send(renderResponse(received));

Given("engines of which the first refuses without having run the request", function(this: IngressWorld) {
    this.ingress.setBehaviours(misbehaveOnce((_, { send }) => send(notExecutedResponse), respond));
});

Given("engines of which the first answers 500", function(this: IngressWorld) {
    this.ingress.setBehaviours(misbehaveOnce((received, { send }) => send(renderResponse(received, { status: 500 })), respond));
});

Given("engines of which one does not accept connections", function(this: IngressWorld) {
    this.ingress.engines[0]!.stop();
});

Given("engines of which the first breaks a stream off in the middle of its third event", function(this: IngressWorld) {
    const breakOff: EngineBehaviour = (received, { send, close }) => {
        send(renderStreamHead(received) + renderEvent(1) + renderEvent(2) + renderEvent(3).slice(0, -8));
        setTimeout(close, 20);
    };
    this.ingress.setBehaviours(misbehaveOnce(breakOff, streamRest));
});

When("a caller sends a {string} request with the body {string}", async function(this: IngressWorld, route: string, body: string) {
    this.answers = [await this.ingress.send(route, { body })];
});

When(
    "a caller sends {int} {string} requests one after the other",
    async function(this: IngressWorld, count: number, route: string) {
        for (let sent = 0; sent < count; sent += 1) {
            this.answers.push(await this.ingress.send(route, { body: route === "idempotent" ? "" : "order" }));
            await new Promise(resolve => setTimeout(resolve, 10));
        }
    },
);

When("a caller sends a {string} request and disconnects", async function(this: IngressWorld, route: string) {
    this.answers = [await this.ingress.send(route, { body: "order", disconnectAfterMs: 100 })];
});

Then(
    "the caller gets {int} with the body {string} and the engine's signature",
    function(this: IngressWorld, status: number, body: string) {
        const [got] = this.answers;
        assert.deepEqual([got!.status, got!.body, got!.isComplete], [status, body, true]);
        assert.equal(got!.headers["x-filbertrelay-response-signature"], `signed-${got!.requestId}`);
    },
);

Then("one engine got the method, path, query, body and request id of the caller", function(this: IngressWorld) {
    const received = this.ingress.received();
    assert.equal(received.length, 1);
    const { method, target, headers, body } = received[0]!;
    assert.deepEqual([method, target, body], ["POST", "/nonIdempotent/item?of=nonIdempotent", "pallet of lime"]);
    assert.equal(headers["x-filbertrelay-attempt-id"], this.answers[0]!.requestId);
});

Then("the engine got the customer's name, the time left and its own id, but no key", function(this: IngressWorld) {
    const { headers } = this.ingress.received()[0]!;
    assert.equal(headers["x-filbertrelay-tenant"], "crew");
    assert.match(headers["x-filbertrelay-target-instance"] ?? "", /^records-[01]$/);
    const leftMs = Number(headers["x-filbertrelay-deadline-ms"]);
    assert.ok(leftMs > 0 && leftMs <= routeTimeoutMs, String(leftMs));
    assert.equal(headers["authorization"], undefined);
});

Then("every success is the whole answer to its own request", function(this: IngressWorld) {
    assert.ok(this.answers.some(({ status }) => status === 200));
    for (const { status, body, headers, requestId } of this.answers.filter(({ status: code }) => code === 200)) {
        assert.deepEqual([status, body], [200, "done"]);
        assert.equal(headers["x-filbertrelay-response-signature"], `signed-${requestId}`);
    }
});

Then("the caller gets {int} and the request ran once", function(this: IngressWorld, status: number) {
    assert.equal(this.answers[0]!.status, status);
    const refused = status === 200 ? this.ingress.received().length - 1 : 0;
    assert.ok(refused <= 1);
    assert.equal(this.ingress.received().length - refused, 1);
});

Then("the caller gets {int} and the request ran twice", function(this: IngressWorld, status: number) {
    assert.equal(this.answers[0]!.status, status);
    assert.equal(this.ingress.received().length, 2);
});

Then("every request is answered with {int} and ran once", function(this: IngressWorld, status: number) {
    assert.ok(this.answers.every(got => got.status === status), JSON.stringify(this.answers.map(got => got.status)));
    const ids = this.ingress.received().map(({ headers }) => headers["x-filbertrelay-attempt-id"]);
    assert.equal(new Set(ids).size, ids.length);
    assert.equal(ids.length, this.answers.length);
});

Then("every request is answered with {int}", function(this: IngressWorld, status: number) {
    assert.ok(this.answers.every(got => got.status === status), JSON.stringify(this.answers.map(got => got.status)));
});

Then("the caller gets 503 with a Retry-After header, and no request ran", function(this: IngressWorld) {
    const [got] = this.answers;
    assert.equal(got!.status, 503);
    assert.ok(Number(got!.headers["retry-after"]) > 0);
    assert.ok(this.ingress.received().length <= 2);
    assert.equal((JSON.parse(got!.body) as { error: { executed: string; }; }).error.executed, "no");
});

Then("the caller gets 504 within half a second after the route's time limit", function(this: IngressWorld) {
    const [got] = this.answers;
    assert.equal(got!.status, 504);
    assert.ok(got!.elapsedMs >= routeTimeoutMs - 5 && got!.elapsedMs < routeTimeoutMs + 500, String(got!.elapsedMs));
});

Then("the engine's connection is closed within half a second", async function(this: IngressWorld) {
    const leftMs = performance.now();
    await waitFor(() => Promise.resolve(this.closedAfterMs !== undefined));
    assert.ok(this.closedAfterMs! - leftMs < 500);
});

Then(
    "the caller gets the events 1 to {int} once each in order and a complete answer",
    function(this: IngressWorld, count: number) {
        const [got] = this.answers;
        const ids = [...got!.body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
        assert.deepEqual(ids, Array.from({ length: count }, (_, index) => index + 1));
        assert.equal(got!.isComplete, true);
    },
);

Then("the second engine was asked to resume after event {int}", function(this: IngressWorld, id: number) {
    assert.deepEqual(this.ingress.received().map(({ headers }) => headers["last-event-id"]).sort(), [String(id), undefined]);
});

Then("the caller gets an incomplete answer and the request ran once", function(this: IngressWorld) {
    assert.equal(this.answers[0]!.isComplete, false);
    assert.equal(this.ingress.received().length, 1);
});

Then("a request with an unknown key gets 401, an unknown path 404 and a missing id 400", async function(this: IngressWorld) {
    assert.equal((await this.ingress.send("idempotent", { key: "foreign" })).status, 401);
    assert.equal((await this.ingress.send("idempotent", { path: "/unknown/item" })).status, 404);
    assert.equal((await this.ingress.send("idempotent", { requestId: undefined })).status, 400);
});

Then("no engine got a request", function(this: IngressWorld) {
    assert.equal(this.ingress.received().length, 0);
});

Given("engines that send {int} events {int} ms apart", function(this: IngressWorld, count: number, pauseMs: number) {
    this.ingress.setBehaviours((received, { send }) => {
        send(renderStreamHead(received) + renderEvent(1));
        let sent = 1;
        const timer = setInterval(() => {
            sent += 1;
            send(renderEvent(sent) + (sent === count ? streamEnd : ""));
            if (sent === count) {
                clearInterval(timer);
            }
        }, pauseMs);
    });
});

Then(
    "the first part arrives within {int} ms and the parts are at most {int} ms apart",
    function(this: IngressWorld, firstMs: number, apartMs: number) {
        const { chunkArrivalsMs } = this.answers[0]!;
        assert.ok(chunkArrivalsMs[0]! <= firstMs, `the first part came after ${chunkArrivalsMs[0]} ms`);
        chunkArrivalsMs.slice(1).forEach((atMs, index) =>
            assert.ok(atMs - chunkArrivalsMs[index]! <= apartMs, `parts at ${chunkArrivalsMs.join(", ")} ms`)
        );
    },
);

Then("there are at most {int} parts", function(this: IngressWorld, count: number) {
    assert.ok(this.answers[0]!.chunkArrivalsMs.length <= count, `${this.answers[0]!.chunkArrivalsMs.length} parts`);
});

When(
    "a caller sends a {string} request and disconnects while the host is busy for {int} ms",
    async function(this: IngressWorld, route: string, busyMs: number) {
        await this.ingress.sendAndDisconnect(route, busyMs);
        await new Promise(resolve => setTimeout(resolve, 300));
    },
);
