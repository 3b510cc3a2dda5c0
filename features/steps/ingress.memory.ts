import { Given, Then, When } from "@cucumber/cucumber";
import { EventFrameReader } from "@filbertrelay/ingress";
import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId } from "@filbertrelay/kernel";
import { renderEvent, renderResponse, renderStreamHead, streamEnd } from "@filbertrelay/platform/standins";
import type { EngineRequest } from "@filbertrelay/platform/standins";
import { AnswerMemory, AnswerReservation } from "@filbertrelay/policy/ingress";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { CallerResponse } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";
import { answer } from "./ingress.spoiled.js";

interface MemoryWorld extends IngressWorld {
    memoryBefore: number;
    others: readonly CallerResponse[];
}

Given("engines whose streams end with an event of {int} bytes", function(this: MemoryWorld, bytes: number) {
    const event = `id: 2\ndata: ${"x".repeat(bytes)}\n\n`;
    this.ingress.setBehaviours((received, { send }) => {
        send(renderStreamHead(received) + renderEvent(1));
        setTimeout(() => send(`${event.length.toString(16)}\r\n${event}\r\n${streamEnd}`), 20);
    });
});

Then("the engines accepted {int} connection(s)", function(this: MemoryWorld, count: number) {
    assert.equal(this.ingress.engines.reduce((sum, engine) => sum + engine.accepted, 0), count);
});

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Cuts text into chunks of one byte each. */
const cut = (text: string): string => [...text].map(chunk).join("");

const endlessAnswers: Readonly<Record<string, (received: EngineRequest) => { readonly start: string; readonly rest: string; }>> =
    {
        "a body": received => ({
            start: renderResponse(received).replace(/Content-Length: .*/, "Content-Length: 999999999999"),
            rest: "x".repeat(65_536),
        }),
        "chunks of one byte": received => ({ start: renderStreamHead(received), rest: cut("x".repeat(4_000)) }),
        "interim heads": () => ({ start: "", rest: "HTTP/1.1 102 Processing\r\n\r\n".repeat(500) }),
        "events in chunks of one byte": received => ({
            start: renderStreamHead(received),
            rest: cut("data: token\n\n".repeat(300)),
        }),
        "pieces of one event": received => ({
            start: `${renderStreamHead(received)}${chunk("data: ")}`,
            rest: chunk("x".repeat(8)).repeat(500),
        }),
        "comments": received => ({ start: renderStreamHead(received), rest: chunk(":\n\n".repeat(1_000)) }),
        "the same event": received => ({ start: renderStreamHead(received) + renderEvent(1), rest: renderEvent(1).repeat(300) }),
    };

Given(/^two engines of which the first sends (.+) without end$/, function(this: MemoryWorld, kind: string) {
    const describe = endlessAnswers[kind];
    assert.ok(describe !== undefined, `Unknown kind of bytes '${kind}'.`);
    this.ingress.setBehaviours((received, connection) => {
        const { start, rest } = describe(received);
        connection.send(start);
        connection.sendWithoutEnd(rest);
    }, answer);
    this.memoryBefore = process.memoryUsage().rss;
});

When(
    "{int} callers send a {string} request to it while others send {string} requests for {int} ms",
    async function(this: MemoryWorld, count: number, route: string, otherRoute: string, forMs: number) {
        const untilMs = performance.now() + forMs;
        const keepSending = async (name: string): Promise<CallerResponse[]> => {
            const answers: CallerResponse[] = [];
            while (performance.now() < untilMs) {
                answers.push(await this.ingress.send(name, { body: name === otherRoute ? "" : "order" }));
            }
            return answers;
        };
        const faulty = Array.from({ length: count }, () => keepSending(route));
        this.others = (await Promise.all([keepSending(otherRoute), keepSending(otherRoute)])).flat();
        await Promise.all(faulty);
    },
);

Then("the requests of the others are answered with {int}", function(this: MemoryWorld, status: number) {
    assert.ok(this.others.length > 0);
    assert.deepEqual([...new Set(this.others.map(other => other.status))], [status]);
});

const seed = 20_261_205;
const limits = { totalBytes: 1_000, endpointBytes: 400 };
const change = fc.record({ answer: fc.nat(7), bytes: fc.nat(500) });

Then(
    "in {int} seeded schedules of {int} changes the memory held equals what the open answers hold and exceeds no limit",
    function(numRuns: number, changes: number) {
        fc.assert(
            fc.property(fc.array(change, { maxLength: changes }), schedule => {
                const memory = new AnswerMemory(limits);
                const answers = Array.from({ length: 8 }, (_value, index) => ({
                    endpoint: index % 3,
                    bytes: 0,
                    reservation: new AnswerReservation(memory, brandAs<EndpointId>(`e-${index % 3}`)),
                }));
                const sum = (endpoint?: number): number =>
                    answers.filter(each => endpoint === undefined || each.endpoint === endpoint).reduce(
                        (total, each) => total + each.bytes,
                        0,
                    );
                for (const { answer: index, bytes } of schedule) {
                    const changed = answers[index]!;
                    const formerBytes = changed.bytes;
                    changed.bytes = bytes;
                    const fits = bytes <= formerBytes ||
                        (sum() <= limits.totalBytes && sum(changed.endpoint) <= limits.endpointBytes);
                    assert.equal(changed.reservation.resize(bytes) === undefined, fits);
                    changed.bytes = fits ? bytes : formerBytes;
                    assert.equal(memory.heldBytes, sum());
                }
                answers.forEach(({ reservation }) => reservation.release());
                assert.equal(memory.heldBytes, 0);
            }),
            { seed, numRuns },
        );
    },
);

const eventText = fc.array(
    fc.constantFrom("id: 1", "id:2", "data: a", "data: é", ":", "event: x", "\n", "\n\n", "\r\n", "\n\r\n", "\r\n\r\n", "\r"),
    { maxLength: 30 },
).map(parts => Buffer.from(parts.join("")));

Then("{int} seeded streams give the same events in one piece and in pieces of any size", function(numRuns: number) {
    fc.assert(
        fc.property(eventText, fc.array(fc.nat(60), { maxLength: 20 }), (bytes, cuts) => {
            const whole = new EventFrameReader();
            const split = new EventFrameReader();
            const borders = [...cuts.map(at => Math.min(at, bytes.length)), bytes.length].sort((left, right) => left - right);
            const frames = borders.flatMap((end, index) => split.push(bytes.subarray(borders[index - 1] ?? 0, end)) ?? []);
            const expected = whole.push(bytes) ?? [];
            const describe = (
                frame: { bytes: Buffer; id?: string; isComment: boolean; },
            ): unknown => [frame.bytes.toString("latin1"), frame.id, frame.isComment];
            assert.deepEqual(frames.map(describe), expected.map(describe));
            assert.equal(split.pendingBytes, whole.pendingBytes);
        }),
        { seed, numRuns },
    );
});
