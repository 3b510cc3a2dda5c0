import { Then, When } from "@cucumber/cucumber";
import { RequestBody } from "@filbertrelay/ingress";
import { ConnectionTable, estimateCompletionMs, MemoryBudget, MemoryHolding } from "@filbertrelay/policy/ingress";
import type { HoldingState } from "@filbertrelay/policy/ingress";
import fc from "fast-check";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { customerKey, waitFor } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface CallerWorld extends IngressWorld {
    received: string;
    isClosed: boolean;
}

const budgetBytes = 1_000;

Then(
    "in {int} seeded series of transfers the budget ends the slowest ones and only when memory is short",
    (count: number) => {
        const transfer = fc.record({
            bytes: fc.integer({ min: 1, max: 400 }),
            remainingBytes: fc.integer({ min: 0, max: 10_000 }),
            movedBytes: fc.integer({ min: 0, max: 10_000 }),
            movedMs: fc.integer({ min: 0, max: 100 }),
        });
        fc.assert(
            fc.property(fc.array(transfer, { maxLength: 30 }), transfers => {
                const budget = new MemoryBudget(budgetBytes);
                const open = new Map<MemoryHolding, { readonly bytes: number; readonly state: HoldingState; }>();
                const nowMs = 100;
                for (const { bytes, ...moved } of transfers) {
                    const state = { ...moved, startedMs: 0 };
                    const holding = new MemoryHolding(budget, () => {
                        const held = [...open.values()].reduce((sum, other) => sum + other.bytes, 0);
                        assert.ok(held > budgetBytes, "A transfer ended though there was room.");
                        const slowestMs = Math.max(...[...open.values()].map(other => estimateCompletionMs(other.state, nowMs)));
                        assert.equal(estimateCompletionMs(open.get(holding)!.state, nowMs), slowestMs);
                        open.delete(holding);
                    });
                    open.set(holding, { bytes, state });
                    holding.transfer(bytes, state, nowMs);
                    assert.ok(budget.heldBytes <= budgetBytes);
                }
                open.forEach((_, holding) => holding.release());
                assert.equal(budget.heldBytes, 0);
            }),
            { numRuns: count, seed: 42 },
        );
    },
);

Then("in {int} seeded series of connections the one that was idle the longest is named", (count: number) => {
    const action = fc.record({ kind: fc.constantFrom("add", "begin", "end", "remove"), connection: fc.nat({ max: 9 }) });
    fc.assert(
        fc.property(fc.array(action, { maxLength: 60 }), actions => {
            const table = new ConnectionTable<number>(4);
            let idle: number[] = [];
            let busy: number[] = [];
            for (const { kind, connection } of actions) {
                const isIdle = idle.includes(connection);
                const isBusy = busy.includes(connection);
                if (kind === "add" && !isIdle && !isBusy) {
                    table.add(connection);
                    idle.push(connection);
                }
                else if (kind === "begin") {
                    table.begin(connection);
                    busy = isIdle ? [...busy, connection] : busy;
                    idle = idle.filter(other => other !== connection);
                }
                else if (kind === "end") {
                    table.end(connection);
                    idle = isBusy ? [...idle, connection] : idle;
                    busy = busy.filter(other => other !== connection);
                }
                else if (kind === "remove") {
                    table.remove(connection);
                    idle = idle.filter(other => other !== connection);
                    busy = busy.filter(other => other !== connection);
                }
                assert.equal(table.longestIdle, idle[0]);
                assert.equal(table.longestBusy, busy[0]);
                assert.equal(table.isOverLimit, idle.length + busy.length > 4);
            }
        }),
        { numRuns: count, seed: 42 },
    );
});

Then(
    "{int} seeded bodies are joined as they were sent and hold at most {int} KB more than their bytes",
    (count: number, extraKb: number) => {
        const pieces = fc.array(fc.oneof(fc.constant(1), fc.nat({ max: 100 }), fc.nat({ max: 70_000 })), { maxLength: 200 });
        fc.assert(
            fc.property(pieces, lengths => {
                const body = new RequestBody();
                const sent = lengths.map((length, index) => Buffer.alloc(length, index % 256));
                // A block that is not full is closed by a long piece, which is at least a quarter of a block.
                const longPieces = lengths.filter(length => length >= 4_096).length;
                sent.forEach(piece => body.append(piece));
                assert.equal(body.length, Buffer.concat(sent).length);
                assert.ok(body.heldBytes <= body.length + extraKb * 1_024 + longPieces * 16_384);
                assert.ok(body.take().equals(Buffer.concat(sent)));
                assert.equal(body.heldBytes, 0);
            }),
            { numRuns: count, seed: 42 },
        );
    },
);

const head = (index: number): string =>
    `POST /nonIdempotent/item HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer ${customerKey}\r\n` +
    `X-Filbertrelay-Deadline-Ms: 5000\r\nX-Filbertrelay-Attempt-Id: ahead-${index}\r\n`;
const ahead = (count: number): string =>
    Array.from({ length: count }, (_, index) => `${head(index)}Content-Length: 5\r\n\r\norder`).join("");
const bodyLimitBytes = 100_000;

const inputs: Readonly<Record<string, string>> = {
    "3 requests ahead of their answers": ahead(3),
    "40 requests ahead of their answers": ahead(40),
    "one request in chunks of one byte": `${head(0).replace("nonIdempotent", "slowOrder")}Transfer-Encoding: chunked\r\n\r\n${
        "1\r\nx\r\n".repeat(50_000)
    }0\r\n\r\n`,
    "one request that asks for an upgrade": `${head(0)}Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 5\r\n\r\norder`,
    "the head of a request with a body over the limit": `${head(0)}Content-Length: ${bodyLimitBytes + 1}\r\n\r\n`,
    "chunks beyond the limit": `${head(0)}Transfer-Encoding: chunked\r\n\r\n186a1\r\n${"x".repeat(bodyLimitBytes + 1)}`,
};

When(/^a connection sends (.+)$/, function(this: CallerWorld, what: string) {
    const socket = connect(Number(this.ingress.callerAddress.split(":")[1]), "127.0.0.1");
    this.received = "";
    this.isClosed = false;
    socket.on("data", bytes => {
        this.received += bytes.toString("latin1");
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
        this.isClosed = true;
    });
    socket.write(inputs[what]!);
});

Then(
    /^it gets (\d+) answers? in order and (is closed|stays open)$/,
    async function(this: CallerWorld, count: string, end: string) {
        const expected = Array.from({ length: Number(count) }, (_, index) => `signed-ahead-${index}`);
        const listAnswers = (): readonly string[] => this.received.match(/signed-ahead-\d+/g) ?? [];
        await waitFor(() => Promise.resolve(end === "is closed" ? this.isClosed : listAnswers().length >= expected.length));
        assert.deepEqual(listAnswers(), expected);
        assert.equal(this.isClosed, end === "is closed");
        // Each request that was answered ran once, and no other one ran.
        assert.equal(this.ingress.received().length, expected.length);
    },
);

Then("it gets a 413 and is closed", async function(this: CallerWorld) {
    await waitFor(() => Promise.resolve(this.isClosed));
    assert.match(this.received, /^HTTP\/1\.1 413 /);
    assert.equal(this.ingress.received().length, 0);
});
