import { Given, Then } from "@cucumber/cucumber";
import { ResponseParser } from "@filbertrelay/ingress";
import type { ResponseHead } from "@filbertrelay/ingress";
import { renderResponse } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import fc from "fast-check";
import assert from "node:assert/strict";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { misbehaveOnce, streamRest } from "./ingress.endpoint.js";
import type { IngressWorld } from "./ingress.endpoint.js";

const isStreamPath = (target: string): boolean => /^\/\w*stream/i.test(target);

/** Answers in full, as an event stream where the request asks for one. */
export const answer: EngineBehaviour = (received, connection) =>
    isStreamPath(received.target) ? streamRest(received, connection) : connection.send(renderResponse(received));

/** Changes the bytes with which an engine answers. */
function spoil(change: (bytes: string) => string): EngineBehaviour {
    return (received, connection) => answer(received, { ...connection, send: bytes => connection.send(change(bytes)) });
}

const processing = "HTTP/1.1 102 Processing\r\n\r\n";

const spoiledAnswers: Readonly<Record<string, (bytes: string) => string>> = {
    "a control byte in a header": withLine("X-Spoiled: a\u0001b"),
    "a NUL in a header": withLine("X-Spoiled: a\u0000b"),
    "a DEL in a header": withLine("X-Spoiled: a\u007fb"),
    "a lone CR in a header": withLine("X-Spoiled: a\rb"),
    "a space in a header's name": withLine("X Spoiled: a"),
    "a header without a name": withLine(": a"),
    "a line without a colon": withLine("spoiled"),
    "a folded header": withLine("X-Spoiled: a\r\n b"),
    "a dash in UTF-8 in a header": withLine(`X-Spoiled: ${Buffer.from("a–b").toString("latin1")}`),
    "status 099": withStatus("099 Answer"),
    "status 600": withStatus("600 Answer"),
    "a status of two digits": withStatus("20 Answer"),
    "a control byte in the reason": withStatus("200 An\u0001swer"),
    "text that is no HTTP and stays open": () => "<html>",
    "a 102 before the answer": bytes => processing + bytes,
    "a 103 with headers before the answer": bytes =>
        `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 7\r\n\r\n${bytes}`,
    "twenty interim heads before the answer": bytes => processing.repeat(20) + bytes,
    "a 304 that states a length": bytes => withStatus("304 Not Modified")(bytes).slice(0, -"done".length),
    "a hundred interim heads": bytes => processing.repeat(100) + bytes,
    "a 101": () => "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n",
};

/** Adds a line behind the status line. */
function withLine(line: string): (bytes: string) => string {
    return bytes => bytes.replace("\r\n", `\r\n${line}\r\n`);
}

function withStatus(status: string): (bytes: string) => string {
    return bytes => bytes.replace(/^HTTP\/1\.1 .*/, `HTTP/1.1 ${status}`);
}

/** Faults that need more than other bytes. */
const spoiledBehaviours: Readonly<Record<string, EngineBehaviour>> = {
    "a 100 in its own segment before the answer": (received, connection) => {
        connection.send("HTTP/1.1 100 Continue\r\n\r\n");
        setTimeout(() => answer(received, connection), 20);
    },
    "a 102 and an orderly close": (_, { send, close }) => {
        send(processing);
        close();
    },
};

Given(/^engines of which the first answers with (.+)$/, function(this: IngressWorld, kind: string) {
    const behaviour = spoiledBehaviours[kind];
    if (behaviour !== undefined) {
        this.ingress.setBehaviours(misbehaveOnce(behaviour, answer));
        return;
    }
    const change = spoiledAnswers[kind];
    assert.ok(change !== undefined, `Unknown kind of answer '${kind}'.`);
    this.ingress.setBehaviours(misbehaveOnce(spoil(change), answer));
});

Then("the caller gets {int} with the engine's signature", function(this: IngressWorld, status: number) {
    const [got] = this.answers;
    assert.equal(got!.status, status);
    assert.equal(got!.headers["x-filbertrelay-response-signature"], `signed-${got!.requestId}`);
});

Then(
    "the caller gets the header {string} with the text {string} in UTF-8",
    function(this: IngressWorld, name: string, text: string) {
        assert.equal(Buffer.from(String(this.answers[0]!.headers[name]), "latin1").toString("utf8"), text);
    },
);

const seed = 20_261_205;

/** Bytes that often stand in a head, and others. */
const headByte = fc.oneof(
    { weight: 30, arbitrary: fc.constantFrom(...[..."HTP/1.:; \tax-Z0952,=\""].map(letter => letter.charCodeAt(0))) },
    { weight: 1, arbitrary: fc.integer({ min: 0, max: 255 }) },
);
const anyText = fc.array(headByte, { maxLength: 12 }).map(bytes => Buffer.from(bytes).toString("latin1"));
const anyStatus = fc.oneof(fc.integer({ min: 0, max: 1_099 }).map(status => String(status).padStart(3, "0")), anyText);
const anyName = fc.oneof(fc.constantFrom("X-Name", "Date", "Set-Cookie", "Location", "Content-Type"), anyText);
const anyHead = fc.record({
    status: anyStatus,
    reason: anyText,
    fields: fc.array(fc.tuple(anyName, anyText), { maxLength: 4 }),
}).map(({ status, reason, fields }) =>
    `HTTP/1.1 ${status} ${reason}\r\n${fields.map(([name, value]) => `${name}: ${value}\r\n`).join("")}Content-Length: 0\r\n\r\n`
);

Then("of {int} arbitrary heads each one that is accepted can be written to a caller", function(numRuns: number) {
    let accepted = 0;
    fc.assert(
        fc.property(anyHead, bytes => {
            const heads: ResponseHead[] = [];
            const handler = {
                onHead: (head: ResponseHead) => void heads.push(head),
                onBody: () => undefined,
                onComplete: () => undefined,
            };
            new ResponseParser(handler, () => false).push(Buffer.from(bytes, "latin1"));
            for (const { status, headers } of heads) {
                accepted += 1;
                const response = new ServerResponse(new IncomingMessage(new Socket()));
                response.writeHead(status, headers.flat());
            }
        }),
        { seed, numRuns },
    );
    assert.ok(accepted >= numRuns / 20, `${accepted} accepted`);
});
