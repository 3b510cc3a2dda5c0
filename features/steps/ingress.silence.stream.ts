import { After, Given, Then, When } from "@cucumber/cucumber";
import { notExecutedResponse, renderEvent, renderStreamHead, streamEnd } from "@filbertrelay/platform/standins";
import type { EngineRequest } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import { customerKey, IngressFixture } from "../support/ingress.js";
import type { CallerResponse } from "../support/ingress.js";
import { SlowCaller } from "../support/slowcaller.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface SilenceWorld extends IngressWorld {
    answer: CallerResponse;
    reader: SlowCaller | undefined;
    events: number;
}

const bytesPerKb = 1_000;

/** A refusal that names its request, as on a connection that was in use before. */
const refuse = ({ headers }: EngineRequest): string =>
    notExecutedResponse.replace(
        "Content-Length",
        `X-Filbertrelay-Attempt-Id: ${headers["x-filbertrelay-attempt-id"]}\r\nContent-Length`,
    );

Given("engines of which the first pauses within a stream and the next refuses it", function(this: SilenceWorld) {
    const events = (from: number, to: number): string =>
        Array.from({ length: to - from + 1 }, (_, index) => renderEvent(from + index)).join("");
    let count = 0;
    this.ingress.setBehaviours((received, { send }) => {
        count += 1;
        const from = Number(received.headers["last-event-id"] ?? 0) + 1;
        if (count === 1) {
            send(renderStreamHead(received) + events(1, 3));
            setTimeout(() => send(events(4, 6) + streamEnd), 1_800);
        }
        else {
            send(count === 2 ? refuse(received) : renderStreamHead(received) + events(from, 6) + streamEnd);
        }
    });
});

Given("an ingress that passes events on within {int} ms", async function(this: SilenceWorld, delayMs: number) {
    this.ingress = new IngressFixture();
    this.answers = [];
    await this.ingress.start({ hasConfiguration: true, promises: `eventDelayMs = ${delayMs}` });
});

Given("engines that stream {int} events of {int} KB", function(this: SilenceWorld, count: number, eventKb: number) {
    this.events = count;
    const event = (id: number): string => {
        const text = `id: ${id}\ndata: ${"x".repeat(eventKb * bytesPerKb)}\n\n`;
        return `${text.length.toString(16)}\r\n${text}\r\n`;
    };
    this.ingress.setBehaviours((received, { send }) =>
        send(renderStreamHead(received) + Array.from({ length: count }, (_, index) => event(index + 1)).join("") + streamEnd)
    );
});

When("a caller sends a {string} request", async function(this: SilenceWorld, route: string) {
    this.answer = await this.ingress.send(route);
});

When(
    "a caller sends a {string} request and reads {int} ms later",
    { timeout: 20_000 },
    async function(this: SilenceWorld, route: string, delayMs: number) {
        this.reader = new SlowCaller(Number(this.ingress.callerAddress.split(":")[1]));
        this.reader.send(
            `POST /${route}/item HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer ${customerKey}\r\nConnection: close\r\n` +
                "X-Filbertrelay-Deadline-Ms: 5000\r\nX-Filbertrelay-Attempt-Id: slow\r\nContent-Length: 0\r\n\r\n",
        );
        await new Promise(resolve => setTimeout(resolve, delayMs));
        await this.reader.readAll();
    },
);

Then("the caller got each event once", function(this: SilenceWorld) {
    const text = this.reader!.text();
    const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    assert.deepEqual(ids, Array.from({ length: this.events }, (_, index) => index + 1));
});

After(function(this: Partial<SilenceWorld>) {
    this.reader?.close();
});
