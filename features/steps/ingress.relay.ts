import { After, Given, Then, When } from "@cucumber/cucumber";
import type { ConnectionFailure, EndpointRecord } from "@filbertrelay/ingress";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { HostId } from "@filbertrelay/kernel";
import {
    notExecutedResponse,
    renderEvent,
    renderResponse,
    renderStreamHead,
    StandinEngine,
    streamEnd,
} from "@filbertrelay/platform/standins";
import type { EngineBehaviour, EngineConnection, EngineRequest } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { waitFor } from "../support/ingress.js";
import { createRequest, describeEndpoint, RelayHost } from "../support/relayhost.js";
import { createText, hostOf, replaceHost, sendThrough } from "../support/relayworld.js";
import type { RelayWorld, Sent } from "../support/relayworld.js";

const clock = createSystemClock();

Given("the hosts {string} and {string} and an engine that {string} reaches", async function(
    this: RelayWorld,
    caller: string,
    relay: string,
    other: string,
) {
    assert.equal(other, relay);
    this.engine = new StandinEngine((received, { send }) => send(renderResponse(received)));
    await this.engine.start();
    this.endpoint = describeEndpoint(this.engine);
    this.relayHosts = new Map();
    this.sent = [];
    this.eventsSentMs = [];
    await replaceHost(this, caller, new RelayHost(caller));
    await replaceHost(this, relay, new RelayHost(relay));
});

After(async function(this: Partial<RelayWorld>) {
    this.engine?.stop();
    this.silentServer?.close();
    await Promise.all([...this.relayHosts?.values() ?? []].map(host => host.stop()));
});

const engineAnswers: Readonly<Record<string, EngineBehaviour>> = {
    "a short answer": (received, { send }) => send(renderResponse(received)),
    "an answer of 900000 bytes": (received, { send }) => send(renderResponse(received, { body: createText(900_000) })),
    "an empty answer": (received, { send }) => send(renderResponse(received, { body: "" })),
    "a chunked stream": (received, { send }) => send(renderStreamHead(received) + renderEvent(1) + renderEvent(2) + streamEnd),
    "a body without a length": (received, { send, close }) => {
        send(renderResponse(received).replace(/Content-Length: .*\r\n/, ""));
        close();
    },
    "an error of its own": (received, { send }) => send(renderResponse(received, { status: 500 })),
    "a refusal": (_, { send }) => send(notExecutedResponse),
    "bytes behind its answer": (received, { send }) => send(`${renderResponse(received)}HTTP/1.1 2`),
    "a reset before its answer": (_, { reset }) => reset(),
    "a reset within its answer": (received, { send, reset }) => {
        send(renderResponse(received, { body: "cut off" }).slice(0, -3));
        setTimeout(reset, 20);
    },
    "an orderly close within its answer": (received, { send, close }) => {
        send(renderResponse(received, { body: "cut off" }).slice(0, -3));
        setTimeout(close, 20);
    },
    "bytes that are no answer": (_, { send }) => send("\u0000\u0001 no answer\r\n\r\n"),
    "a head with bytes above ASCII": (received, { send }) =>
        send(renderResponse(received).replace("Answer\r\n", "Answer\r\nX-Name: caf\u00e9 \u00ff\r\n")),
};

// The text is made before anything is measured, since the engine shares its process with the hosts.
Given("an engine whose answers have {int} bytes", function(this: RelayWorld, length: number) {
    const body = createText(length);
    this.engine.behaviour = (received, { send }) => send(renderResponse(received, { body }));
});

Given(/^an engine that answers with (.+)$/, function(this: RelayWorld, answer: string) {
    const behaviour = engineAnswers[answer];
    assert.ok(behaviour !== undefined, `Unknown answer '${answer}'.`);
    this.engine.behaviour = behaviour;
});

const withoutEnd = (world: RelayWorld, start: (connection: EngineConnection, received: EngineRequest) => void): void => {
    world.engine.behaviour = (received, connection) => {
        connection.onClosed(() => world.engineClosedMs = performance.now());
        start(connection, received);
    };
};

Given("an engine that sends a head and no more", function(this: RelayWorld) {
    withoutEnd(this, ({ send }, received) => send(renderResponse(received, { body: "no more" }).slice(0, -7)));
});

Given("an engine that never answers", function(this: RelayWorld) {
    withoutEnd(this, () => undefined);
});

Given("an engine that accepts no connections", function(this: RelayWorld) {
    this.engine.stop();
});

Given("an engine that resets each request", function(this: RelayWorld) {
    this.engine.behaviour = (_, { reset }) => reset();
});

Given("an engine that repeats each answer before the next one", function(this: RelayWorld) {
    const former = new Map<unknown, string>();
    this.engine.behaviour = (received, { send }) => {
        const answer = renderResponse(received, { body: received.headers["x-filbertrelay-attempt-id"] ?? "" });
        send((former.get(send) ?? "") + answer);
        former.set(send, answer);
    };
});

Given("an engine that sends {int} events, one every {int} ms", function(this: RelayWorld, count: number, everyMs: number) {
    this.engine.behaviour = async (received, { send }) => {
        send(renderStreamHead(received));
        for (let id = 1; id <= count; id += 1) {
            await delay(everyMs);
            this.eventsSentMs.push(performance.now());
            send(renderEvent(id));
        }
        send(streamEnd);
    };
});

const hostStates: Readonly<Record<string, (host: RelayHost, endpoint: EndpointRecord) => void>> = {
    "stops": host => host.isRefusing = true,
    "is cut off from the engine": host => host.isCutOff = true,
    "does not know the engine": host => host.endpoints = [],
    "knows another process of the engine": (host, endpoint) => {
        host.endpoints = [{ ...endpoint, startedAtMs: endpoint.startedAtMs + 1 }];
    },
    "reads that the engine leaves": (host, endpoint) => host.endpoints = [{ ...endpoint, isLeaving: true }],
    "was told that the engine leaves": (host, endpoint) => host.notices.recordLeaving(endpoint),
    "was asked for a pause by the engine": (host, endpoint) => host.notices.recordPause(endpoint, clock.monotonicMs() + 5_000),
};

Given("a host {string} that has no memory", async function(this: RelayWorld, name: string) {
    await replaceHost(this, name, new RelayHost(name, { requests: 100, bytes: 60_000 }));
});

Given("a host {string} with room for {int} requests", async function(this: RelayWorld, name: string, requests: number) {
    await replaceHost(this, name, new RelayHost(name, { requests, bytes: 10_000_000 }));
});

Given(
    /^a host "(\w+)" that (stops|is .+|does .+|knows .+|reads .+|was .+)$/,
    function(this: RelayWorld, name: string, state: string) {
        const change = hostStates[state];
        assert.ok(change !== undefined, `Unknown state '${state}'.`);
        change(hostOf(this, name), this.endpoint);
    },
);

async function sendBothWays(world: RelayWorld, name: string, relay: string, body?: string): Promise<void> {
    for (const options of [{}, { relay: brandAs<HostId>(relay) }]) {
        const sent = hostOf(world, name).send(world.endpoint, createRequest("request-1", body), options);
        world.sent.push(sent);
        await sent.ended;
    }
}

When(
    "{string} sends a request to the engine directly and another one through {string}",
    async function(this: RelayWorld, name: string, relay: string) {
        await sendBothWays(this, name, relay);
    },
);

When(
    "{string} sends a request of {int} bytes to the engine directly and another one through {string}",
    async function(this: RelayWorld, name: string, bytes: number, relay: string) {
        await sendBothWays(this, name, relay, createText(bytes));
    },
);

Then("both gave the same head, body and end", async function(this: RelayWorld) {
    await delay(30);
    const [direct, relayed] = this.sent.map(({ record }) => record);
    assert.ok(direct !== undefined && relayed !== undefined);
    assert.deepEqual(relayed.heads, direct.heads);
    assert.ok(relayed.body.equals(direct.body), `${relayed.body.length} bytes instead of ${direct.body.length}`);
    assert.deepEqual([relayed.completions, relayed.failures], [direct.completions, direct.failures]);
    assert.equal(relayed.ends, 1);
    assert.deepEqual(hostOf(this, "birch").heads, direct.heads);
    assert.deepEqual(hostOf(this, "birch").failures, direct.failures);
});

Then("the engine got the same request twice", function(this: RelayWorld) {
    const [direct, relayed, ...rest] = this.engine.requests;
    assert.ok(direct !== undefined && rest.length === 0);
    assert.deepEqual(relayed, direct);
});

When("{string} sends a request through {string}", function(this: RelayWorld, name: string, relay: string) {
    sendThrough(this, name, relay);
});

When(
    "{string} sends {int} requests through {string}",
    async function(this: RelayWorld, name: string, count: number, relay: string) {
        for (let sent = 0; sent < count; sent += 1) {
            sendThrough(this, name, relay);
            await delay(20);
        }
    },
);

When(
    "{string} sends {int} requests through {string} one after the other",
    async function(this: RelayWorld, name: string, count: number, relay: string) {
        for (let sent = 0; sent < count; sent += 1) {
            await sendThrough(this, name, relay).ended;
        }
    },
);

Then("all {int} events arrive in order, each within {int} ms", async function(this: RelayWorld, count: number, withinMs: number) {
    const { record, ended } = this.sent[0]!;
    await ended;
    assert.equal(record.completions, 1, JSON.stringify(record.failures));
    const expected = Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`);
    assert.deepEqual(record.pieces.map(({ bytes }) => bytes.toString()), expected);
    record.pieces.forEach(({ atMs }, index) => {
        assert.ok(atMs - this.eventsSentMs[index]! < withinMs, `event ${index + 1}: ${atMs - this.eventsSentMs[index]!} ms`);
    });
});

Then(
    "each got its own answer, and all but the first came on a connection that was in use before",
    function(this: RelayWorld) {
        assert.deepEqual(
            this.sent.map(({ record }) => record.body.toString()),
            this.sent.map((_, index) => `request-${index}`),
        );
        assert.deepEqual(this.sent.map(({ link }) => link.isReused), this.sent.map((_, index) => index > 0));
        assert.equal(this.engine.accepted, 1);
    },
);

const events: Readonly<Record<string, (world: RelayWorld) => Promise<void> | void>> = {
    "\"alder\" cancels the request": ({ sent }) => sent[0]!.link.close(),
    "\"alder\" is lost": world => hostOf(world, "alder").stop(),
    "\"birch\" stops at the end": world => hostOf(world, "birch").handler.stop(),
    "\"birch\" takes no further requests": world => void (hostOf(world, "birch").isRefusing = true),
};

When(/^("\w+" (?:cancels the request|is lost|stops at the end|takes no further requests))$/, async function(
    this: RelayWorld,
    event: string,
) {
    await waitFor(() => Promise.resolve(this.engine.requests.length === 1));
    this.endedMs = performance.now();
    await events[event]?.(this);
});

When("the time of the request is over", async function(this: RelayWorld) {
    this.sent[0]!.link.close();
    await waitFor(() => Promise.resolve(this.engine.connections === 0));
    sendThrough(this, "alder", "birch", 150);
    this.endedMs = performance.now() + 150;
    await delay(150);
});

Then("the engine's connection is closed within {int} ms", async function(this: RelayWorld, withinMs: number) {
    const beginMs = this.endedMs;
    await waitFor(() => Promise.resolve(this.engine.connections === 0));
    assert.ok(this.engineClosedMs - beginMs < withinMs, `${this.engineClosedMs - beginMs} ms`);
});

Then("{string} has no request of another host", async function(this: RelayWorld, name: string) {
    const { handler } = hostOf(this, name);
    await waitFor(() => Promise.resolve(handler.inProgress === 0 && handler.heldBytes === 0));
});

When(
    "{string} sends a request through {string} and cancels it after its end",
    async function(this: RelayWorld, name: string, relay: string) {
        const { link, ended } = sendThrough(this, name, relay);
        await ended;
        link.close();
    },
);

Then("the next request through {string} uses the same connection", async function(this: RelayWorld, relay: string) {
    const { link, ended, record } = sendThrough(this, "alder", relay);
    await ended;
    assert.deepEqual([record.completions, link.isReused, this.engine.accepted], [1, true, 1]);
});

function assertRefused({ record }: Sent, refusal: string): void {
    const [failure] = record.failures;
    assert.equal(record.calls, 1);
    assert.deepEqual([failure?.relay, failure?.wasSent, failure?.isRefused], [refusal, false, false]);
}

Then("the request fails as refused with {string} and unsent", async function(this: RelayWorld, refusal: string) {
    await this.sent[0]!.ended;
    assertRefused(this.sent[0]!, refusal);
    assert.deepEqual(hostOf(this, "birch").results, [`relaying ${refusal}`]);
    assert.deepEqual(hostOf(this, "alder").results, [`calling ${refusal}`]);
    assert.deepEqual(hostOf(this, "alder").logged, [4380]);
});

Then("the engine got no request", function(this: RelayWorld) {
    assert.deepEqual([this.engine.requests.length, this.engine.accepted], [0, 0]);
});

Then("the last one fails as refused with {string} and unsent", async function(this: RelayWorld, refusal: string) {
    await this.sent.at(-1)!.ended;
    assertRefused(this.sent.at(-1)!, refusal);
});

Then(
    "{string} pauses {string} for at most {int} ms and counts {int} requests there",
    function(this: RelayWorld, name: string, relay: string, mostMs: number, count: number) {
        const { links } = hostOf(this, name);
        const pauseMs = links.pauseMs(brandAs<HostId>(relay));
        assert.ok(pauseMs > 0 && pauseMs <= mostMs, `${pauseMs} ms`);
        assert.equal(links.inProgress(brandAs<HostId>(relay)), count);
    },
);

Then("a request through {string} is taken once one of the others is cancelled", async function(this: RelayWorld, relay: string) {
    this.sent[0]!.link.close();
    await waitFor(() => Promise.resolve(hostOf(this, relay).handler.inProgress === 1));
    const { record } = sendThrough(this, "alder", relay);
    await waitFor(() => Promise.resolve(record.heads.length === 1));
});

const losses: Readonly<Record<string, (world: RelayWorld) => Promise<void>>> = {
    "\"birch\" is lost once the engine has it": async world => {
        sendThrough(world, "alder", "birch");
        await waitFor(() => Promise.resolve(world.engine.requests.length === 1));
        await hostOf(world, "birch").peers.stop(0);
    },
    "\"birch\" stops at the end once the engine has it": async world => {
        sendThrough(world, "alder", "birch");
        await waitFor(() => Promise.resolve(world.engine.requests.length === 1));
        await hostOf(world, "birch").handler.stop();
    },
    "\"birch\" was lost before": async world => {
        await hostOf(world, "birch").stop();
        sendThrough(world, "alder", "birch");
    },
    "\"birch\" does not accept its connection": async world => {
        const server = createServer(() => undefined);
        world.silentServer = server;
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        hostOf(world, "alder").peers.setAddress(brandAs<HostId>("birch"), `127.0.0.1:${port}`);
        const sentMs = performance.now();
        await sendThrough(world, "alder", "birch").ended;
        assert.ok(performance.now() - sentMs < 600, `${performance.now() - sentMs} ms`);
    },
    "nothing else happens": world => Promise.resolve(void sendThrough(world, "alder", "birch")),
};

When(
    /^"alder" sends a request through "birch" and ("birch" .+|nothing else happens)$/,
    async function(this: RelayWorld, event: string) {
        const lose = losses[event];
        assert.ok(lose !== undefined, `Unknown event '${event}'.`);
        await lose(this);
    },
);

Then(
    /^the request fails with "(\w+)", (sent|unsent), and the trouble is the (relay|endpoint)'s$/,
    async function(this: RelayWorld, reason: string, sent: string, trouble: string) {
        const { record, ended } = this.sent[0]!;
        await ended;
        const failure: ConnectionFailure = record.failures[0]!;
        assert.equal(record.ends, 1);
        assert.deepEqual(
            [failure.reason, failure.wasSent, failure.relay],
            [reason, sent === "sent", trouble === "relay" ? "lost" : undefined],
        );
        assert.deepEqual(hostOf(this, "alder").logged, trouble === "relay" ? [4381] : []);
    },
);
