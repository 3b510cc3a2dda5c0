import { After, Given, Then, When } from "@cucumber/cucumber";
import { launchFleet } from "@filbertrelay/client";
import type { Fleet } from "@filbertrelay/client";
import { parseAnswers } from "@filbertrelay/configuration";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { readFileSync } from "node:fs";
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

interface Span {
    readonly name: string;
    readonly traceId: string;
}

interface TelemetryWorld {
    observedFleet?: Fleet;
    spanCollector?: Server;
    metricCollector?: Socket;
    spanBodies: string[];
    metricLines: string[];
}

const customerKey = "test-key-chaulage-farm-union";
const traceId = "4bf92f3577b34da6a3ce929d0e0e4736";
const traceParent = `00-${traceId}-00f067aa0ba902b7-01`;
const waitTimeoutMs = 60_000;

After(async function(this: TelemetryWorld) {
    await this.observedFleet?.stop();
    this.spanCollector?.close();
    this.metricCollector?.close();
});

Given("a fleet of {int} daemons that sends spans and metrics to collectors", async function(this: TelemetryWorld, count: number) {
    this.spanBodies = [];
    this.metricLines = [];
    const spanPort = await startSpanCollector(this);
    const metricPort = await startMetricCollector(this);
    const answers = parseAnswers(readFileSync("examples/chaulage.toml", "utf8"));
    assert.ok(answers.ok);
    this.observedFleet = await launchFleet({
        answers: answers.value,
        entryHosts: count,
        enginesPerModel: 1,
        instancesPerService: 1,
        daemonSettings: {
            traces: { otlpUrl: `http://127.0.0.1:${spanPort}/v1/traces` },
            metrics: { statsdAddress: `127.0.0.1:${metricPort}` },
        },
    });
});

async function startSpanCollector(world: TelemetryWorld): Promise<number> {
    const server = createServer((request, response) => {
        let body = "";
        request.on("data", (chunk: Buffer) => body += chunk.toString());
        request.on("end", () => {
            world.spanBodies.push(body);
            response.end("{}");
        });
    });
    world.spanCollector = server;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
}

async function startMetricCollector(world: TelemetryWorld): Promise<number> {
    const socket = createSocket("udp4", message => world.metricLines.push(...message.toString().split("\n")));
    world.metricCollector = socket;
    await new Promise<void>(resolve => socket.bind(0, "127.0.0.1", resolve));
    return socket.address().port;
}

When("a caller sends a model request, an idempotent call and a booking within one trace", async function(this: TelemetryWorld) {
    const address = this.observedFleet?.callerAddresses()[0] ?? "";
    const headers = { authorization: `Bearer ${customerKey}`, "content-type": "application/json", traceparent: traceParent };
    const chat = await fetch(`http://${address}/v1/chat/completions`, {
        method: "POST",
        headers,
        body: JSON.stringify({
            model: "assistant",
            max_tokens: 5,
            messages: [{ role: "user", content: "How long does lime cure?" }],
        }),
    });
    assert.equal(chat.status, 200, await chat.text());
    const lookup = await fetch(`http://${address}/v1/services/booking/bookings`, { headers });
    assert.equal(lookup.status, 200, await lookup.text());
    const booking = await fetch(`http://${address}/v1/services/booking/bookings`, {
        method: "POST",
        headers: { ...headers, "idempotency-key": "booking-1" },
        body: "{}",
    });
    assert.equal(booking.status, 200, await booking.text());
});

Then(
    "the spans {string} and {string} of {int} requests and {string} of {int} arrive with the caller's trace id",
    async function(this: TelemetryWorld, entry: string, attempt: string, requests: number, owner: string, submissions: number) {
        const count = (name: string): number =>
            this.spanBodies.flatMap(parseSpans).filter(span => span.traceId === traceId && span.name === name).length;
        await waitUntil(
            () => count(entry) === requests && count(attempt) === requests && count(owner) === submissions,
            "the spans of all hops",
        );
    },
);

Then("the metric {string} arrives", async function(this: TelemetryWorld, name: string) {
    await waitUntil(() => this.metricLines.some(line => line.startsWith(`${name}:1|c`)), name);
});

Then("no collected span or metric contains the customer's key", function(this: TelemetryWorld) {
    assert.equal([...this.spanBodies, ...this.metricLines].some(text => text.includes(customerKey)), false);
});

function parseSpans(body: string): readonly Span[] {
    const document = JSON.parse(body) as { resourceSpans: { scopeSpans: { spans: Span[]; }[]; }[]; };
    return document.resourceSpans.flatMap(resource => resource.scopeSpans.flatMap(scope => scope.spans));
}

async function waitUntil(condition: () => boolean, expected: string): Promise<void> {
    for (const endMs = performance.now() + waitTimeoutMs; !condition(); await delay(100)) {
        assert.ok(performance.now() < endMs, `Timed out after ${waitTimeoutMs} ms waiting for ${expected}.`);
    }
}
