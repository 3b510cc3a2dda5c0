import { After, Given, Then, When } from "@cucumber/cucumber";
import { createKeyValueClient } from "@filbertrelay/connectors";
import type { ClosableKeyValueClient } from "@filbertrelay/connectors";
import { createEngineDriver, createServiceDriver } from "@filbertrelay/endpoints";
import type { ClosableEngineDriver, EngineItem, ServiceRequest } from "@filbertrelay/endpoints";
import { brandAs } from "@filbertrelay/kernel";
import type { IdempotencyKey, Outcome, RequestId } from "@filbertrelay/kernel";
import { answerText } from "@filbertrelay/standins";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { RequestListener, Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { waitUntil } from "./process.js";
import { clock, collect, engineRequest, engines, issueOf, standIn, textOf } from "./standins.js";
import type { StandInWorld } from "./standins.js";

interface EndpointWorld extends StandInWorld {
    endpointServer: Server;
    address: string;
    routeAddress: string;
    endpointKind: string;
    iterator: AsyncIterator<EngineItem>;
    items: EngineItem[];
    keyValue: ClosableKeyValueClient;
    impatientEngines: ClosableEngineDriver;
}

const services = createServiceDriver({ clock });
const silenceMs = 20_000;
let bookings = 0;

After(function(this: EndpointWorld) {
    this.endpointServer?.closeAllConnections();
    this.endpointServer?.close();
});

async function serve(world: EndpointWorld, listener: RequestListener): Promise<void> {
    world.endpointServer = createServer(listener);
    await new Promise<void>(resolve => world.endpointServer.listen(0, "127.0.0.1", resolve));
    world.address = `127.0.0.1:${(world.endpointServer.address() as AddressInfo).port}`;
}

function booking(): ServiceRequest {
    bookings += 1;
    return {
        requestId: brandAs<RequestId>(`n.1.${bookings}`),
        method: "POST",
        path: "/bookings",
        headers: { "content-type": "text/plain" },
        body: Buffer.from(`booking ${bookings}`),
        idempotencyKey: brandAs<IdempotencyKey>(`key-${bookings}`),
    };
}

function verdict(
    outcome: Outcome<unknown, { readonly code: string; readonly message: string; readonly executed: string; }>,
): string {
    return outcome.ok ? "answered" : `${outcome.issue.code} ${outcome.issue.executed}`;
}

Then(
    "a booking to a port that refuses connections ends with {string} and executed {string}",
    async function(code: string, executed: string) {
        const unused = createServer();
        await new Promise<void>(resolve => unused.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(unused.address() as AddressInfo).port}`;
        await new Promise(resolve => unused.close(resolve));
        assert.equal(verdict(await services.send(address, booking(), { timeoutMs: 10_000 })), `${code} ${executed}`);
    },
);

Then(
    "a booking that is cancelled before it is sent ends with {string} and executed {string}",
    async function(this: EndpointWorld, code: string, executed: string) {
        const signal = AbortSignal.abort(new Error("The caller left."));
        const outcome = await services.send(standIn(this, "service").address, booking(), { timeoutMs: 10_000, signal });
        assert.equal(verdict(outcome), `${code} ${executed}`);
    },
);

Then(
    "a booking that the service declares as refused ends with {string} and executed {string}",
    async function(this: EndpointWorld, code: string, executed: string) {
        await standIn(this, "service").control("/behaviour", { refuseNext: 1 });
        const outcome = await services.send(standIn(this, "service").address, booking(), { timeoutMs: 10_000 });
        assert.equal(verdict(outcome), `${code} ${executed}`);
    },
);

Then(
    "a booking that the service refuses without a declaration is answered with status {int}",
    async function(this: EndpointWorld, status: number) {
        await standIn(this, "service").control("/behaviour", { refuseNext: 1, refuseSilently: true });
        const outcome = await services.send(standIn(this, "service").address, booking(), { timeoutMs: 10_000 });
        assert.equal(outcome.ok && outcome.value.status, status);
    },
);

Then(
    "a booking whose reply is lost ends with {string} and executed {string}",
    async function(this: EndpointWorld, code: string, executed: string) {
        await standIn(this, "service").control("/faults", { loseReplies: 1 });
        const outcome = await services.send(standIn(this, "service").address, booking(), { timeoutMs: 10_000 });
        assert.equal(verdict(outcome), `${code} ${executed}`);
    },
);

Then(
    "a booking that is not answered in time ends with {string} and executed {string}",
    async function(this: EndpointWorld, code: string, executed: string) {
        await standIn(this, "service").control("/behaviour", { delayMs: 60_000 });
        const outcome = await services.send(standIn(this, "service").address, booking(), { timeoutMs: 1_000 });
        assert.equal(verdict(outcome), `${code} ${executed}`);
    },
);

Then("no booking was run more than once", async function(this: EndpointWorld) {
    const { total, byKey } = await standIn(this, "service").control("/executions") as {
        total: number;
        byKey: Record<string, number>;
    };
    assert.deepEqual([total, Object.values(byKey)], [2, [1, 1]]);
});

Given("a service that closes each connection when a second request arrives on it", async function(this: EndpointWorld) {
    const seen = new WeakSet<Socket>();
    await serve(this, (message, response) => {
        if (seen.has(message.socket)) {
            message.socket.destroy();
            return;
        }
        seen.add(message.socket);
        response.end("booked");
    });
});

Then("{int} bookings in a row are all answered", async function(this: EndpointWorld, count: number) {
    for (let index = 0; index < count; index++) {
        assert.equal(verdict(await services.send(this.address, booking(), { timeoutMs: 10_000 })), "answered");
    }
});

Given(
    /^(plain services|model engines) that answer with the id of another request$/,
    async function(this: EndpointWorld, kind: string) {
        this.endpointKind = kind;
        const chunk = { id: "other", choices: [{ index: 0, delta: { content: "secret" }, finish_reason: null }] };
        const body = kind === "plain services" ? "secret" : `id: 1\ndata: ${JSON.stringify(chunk)}\n\n`;
        await serve(this, (...[, response]) => {
            response.writeHead(200, { "x-request-id": "other" });
            response.end(body);
        });
    },
);

Then("the reply is discarded with {string}", async function(this: EndpointWorld, code: string) {
    if (this.endpointKind === "plain services") {
        assert.equal(verdict(await services.send(this.address, booking(), { timeoutMs: 10_000 })), `${code} unknown`);
        return;
    }
    const items = await collect(engines.generate(this.address, engineRequest("mine", "prompt"), { silenceMs }));
    assert.deepEqual([items.length, issueOf(items)?.code], [1, code]);
});

When(
    "{int} streams are opened at once and all are stalled after their first token",
    async function(this: EndpointWorld, count: number) {
        const { address } = standIn(this, "engine");
        let started = 0;
        const read = async (index: number): Promise<readonly EngineItem[]> => {
            const items: EngineItem[] = [];
            for await (
                const item of engines.generate(address, engineRequest(`r${index}`, `p${index}`, { maxTokens: 200 }), {
                    silenceMs,
                })
            ) {
                started += items.push(item) === 1 ? 1 : 0;
            }
            return items;
        };
        this.streams = [...Array(count).keys()].map(read);
        await waitUntil("the first tokens", () => started === count);
    },
);

Then(
    "all {int} streams are open at the same time and complete after the stall",
    async function(this: EndpointWorld, count: number) {
        const { runningRequests } = await standIn(this, "engine").control("/counts");
        assert.equal(runningRequests, count);
        const streams = await Promise.all(this.streams);
        streams.forEach((items, index) => assert.equal(textOf(items), answerText([{ role: "user", content: `p${index}` }], 200)));
    },
);

Given(
    "a route {string} through {string} to {string}",
    async function(this: EndpointWorld, label: string, proxy: string, target: string) {
        const route = await standIn(this, proxy).control("/routes", { target: standIn(this, target).address, labels: [label] });
        this.routeAddress = route["listen"] as string;
    },
);

When(
    "a stream of {int} tokens through {string} is black-holed after {int} tokens",
    async function(this: EndpointWorld, maxTokens: number, match: string, after: number) {
        this.items = [];
        const request = engineRequest("silent", "prompt", { maxTokens });
        for await (const item of engines.generate(this.routeAddress, request, { silenceMs: 1_000 })) {
            if (this.items.push(item) === after) {
                await standIn(this, "proxy").control("/route-faults", { match, blackHole: true });
            }
        }
    },
);

Then("it ends with {string} and the rest can be read on a new connection", async function(this: EndpointWorld, code: string) {
    assert.deepEqual([issueOf(this.items)?.code, issueOf(this.items)?.executed], [code, "unknown"]);
    this.items.pop();
    const known = this.items.length;
    this.items.push(...await collect(engines.resume(this.routeAddress, brandAs<RequestId>("silent"), known, { silenceMs })));
});

Then("the whole answer has each token once and in order", function(this: EndpointWorld) {
    const offsets = this.items.flatMap(item => item.type === "token" ? [item.token.offset] : []);
    assert.deepEqual(offsets, [...Array(200).keys()].map(index => index + 1));
    assert.equal(textOf(this.items), answerText([{ role: "user", content: "prompt" }], 200));
    assert.equal(this.items.at(-1)?.type, "finish");
});

Given(
    "{int} connections to {string} and {int} to {string} are pooled through {string} and black-holed",
    async function(this: EndpointWorld, count: number, store: string, unusedCount: number, engine: string, proxy: string) {
        assert.equal(count, unusedCount);
        const [storeRoute, engineRoute] = await Promise.all(
            [store, engine].map(name => standIn(this, proxy).control("/routes", { target: standIn(this, name).address })),
        );
        this.routeAddress = engineRoute!["listen"] as string;
        this.keyValue = createKeyValueClient({ url: `http://${storeRoute!["listen"] as string}`, clock, timeoutMs: 1_000 });
        this.impatientEngines = createEngineDriver({ clock, callTimeoutMs: 1_000 });
        const calls = [...Array(count).keys()].flatMap(
            () => [this.keyValue.get("k", "shards"), this.impatientEngines.readLoad(this.routeAddress)],
        );
        assert.ok((await Promise.all(calls)).every(outcome => outcome.ok));
        await standIn(this, proxy).control("/route-faults", { blackHole: true });
    },
);

async function callEach(world: EndpointWorld): Promise<string[]> {
    const outcomes = await Promise.all([world.keyValue.get("k", "shards"), world.impatientEngines.readLoad(world.routeAddress)]);
    return outcomes.map(outcome => outcome.ok ? "ok" : outcome.issue.code);
}

Then("the first call to each ends without an answer", async function(this: EndpointWorld) {
    assert.deepEqual(await callEach(this), ["keyValue.unavailable", "endpoint.silent"]);
});

Then("the second call to each is answered", async function(this: EndpointWorld) {
    assert.deepEqual(await callEach(this), ["ok", "ok"]);
    await Promise.all([this.keyValue.stop(), this.impatientEngines.stop()]);
});

When(
    "a reader takes {int} tokens of an answer of {int} tokens and pauses",
    async function(this: EndpointWorld, count: number, maxTokens: number) {
        const request = engineRequest("slow", "prompt", { maxTokens });
        this.iterator = engines.generate(standIn(this, "engine").address, request, { silenceMs: 500 })[Symbol.asyncIterator]();
        this.items = [];
        while (this.items.length < count) {
            this.items.push((await this.iterator.next()).value as EngineItem);
        }
    },
);

Then("the engine stops producing before the answer is complete", async function(this: EndpointWorld) {
    const produced = async () => (await standIn(this, "engine").control("/counts"))["producedTokens"] as number;
    let last = -1;
    // Longer than the silence limit, which must not end a stream that its own reader holds back.
    await waitUntil("the engine to stop", async () => {
        const former = last;
        last = await produced();
        await clock.sleep(1_000);
        return last === former;
    });
    assert.ok(last < 200_000, `The engine produced ${last} tokens.`);
});

Then("the reader gets the whole answer when it goes on", async function(this: EndpointWorld) {
    for (let next = await this.iterator.next(); next.done !== true; next = await this.iterator.next()) {
        this.items.push(next.value);
    }
    assert.equal(this.items.at(-1)?.type, "finish");
    assert.equal(this.items.length, 200_001);
    assert.equal(textOf(this.items), answerText([{ role: "user", content: "prompt" }], 200_000));
});

When("a stream of {int} tokens is cancelled after its first token", async function(this: EndpointWorld, maxTokens: number) {
    const { address } = standIn(this, "engine");
    const request = engineRequest("cancelled", "prompt", { maxTokens });
    for await (const item of engines.generate(address, request, { silenceMs })) {
        assert.equal(item.type, "token");
        break;
    }
    assert.equal((await engines.cancel(address, request.requestId)).ok, true);
});

Then("another request is answered at once and the cancelled one is unknown", async function(this: EndpointWorld) {
    const { address } = standIn(this, "engine");
    const items = await collect(engines.generate(address, engineRequest("next", "prompt", { maxTokens: 2 }), { silenceMs }));
    assert.equal(items.at(-1)?.type, "finish");
    const again = await collect(engines.resume(address, brandAs<RequestId>("cancelled"), 0, { silenceMs }));
    assert.equal(issueOf(again)?.code, "endpoint.notFound");
});
