import { Given, Then, When } from "@cucumber/cucumber";
import {
    createCallBudget,
    createCloudClient,
    createHostListClient,
    createKeyValueClient,
    createWeightStoreClient,
} from "@filbertrelay/connectors";
import type { CallBudget, CallPurpose } from "@filbertrelay/connectors";
import { createEngineDriver, createServiceDriver, EngineStreamReader } from "@filbertrelay/endpoints";
import type { EngineItem, ServiceRequest } from "@filbertrelay/endpoints";
import { brandAs, createSystemClock, createVirtualClock } from "@filbertrelay/kernel";
import type { Clock, HostId, IdempotencyKey, RequestId, VirtualClock } from "@filbertrelay/kernel";
import { answerToken } from "@filbertrelay/standins";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { collect, engineRequest } from "./standins.js";
import type { StandInWorld } from "./standins.js";

interface ReplyWorld extends StandInWorld {
    /** Calls that the server has received. */
    receivedRequests: number;
    /** Bytes that the server sends next; it keeps the connection open when they are undefined. */
    nextReply: Reply;
    address: string;
    budget: CallBudget;
    virtualClock: VirtualClock;
    waits: (number | undefined)[];
    connections: number;
}

interface Reply {
    readonly bytes: Buffer;
    readonly closes: boolean;
}

const seed = 20_261_204;
const clock = createSystemClock();
const timeoutMs = 100;
// Far above every timeout of the clients, so that only a hang reaches it.
const hangMs = 20_000;
// Time in which a request that was written has arrived on loopback.
const arrivalMs = 500;

Given("a server that answers with arbitrary bytes", async function(this: ReplyWorld) {
    this.receivedRequests = 0;
    const server: Server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", (data: Buffer) => {
            this.receivedRequests += countRequests(data);
        });
        socket.once("data", () => {
            socket.write(this.nextReply.bytes);
            if (this.nextReply.closes) {
                socket.end();
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    server.unref();
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

// Shapes close to the protocol's reach deeper into the clients than random bytes do.
const leaf = fc.oneof(
    fc.constantFrom<unknown>(
        "running",
        "live",
        "entry",
        "k",
        "notFound",
        "conflict",
        "terminated",
        "h1",
        "yes",
        0,
        1,
        -1,
        1.5,
        null,
        true,
        "2026-01-01T00:00:00Z",
    ),
    fc.string({ maxLength: 5 }),
);
const names = [
    "key",
    "value",
    "version",
    "values",
    "hosts",
    "hostId",
    "state",
    "role",
    "error",
    "code",
    "message",
    "leaseId",
    "notices",
    "sequence",
    "terminatesAt",
    "prices",
    "bytes",
    "model",
    "events",
    "block",
    "kind",
    "tokens",
    "executed",
    "response",
    "status",
    "headers",
    "body",
    "reportedAt",
];
const document = fc.letrec(tie => ({
    node: fc.oneof({ maxDepth: 3 }, leaf, tie("list"), tie("record")),
    list: fc.array(tie("node"), { maxLength: 3 }),
    record: fc.dictionary(fc.constantFrom(...names), tie("node"), { maxKeys: 6 }),
})).node;
const status = fc.constantFrom(200, 200, 200, 201, 204, 301, 400, 404, 409, 413, 429, 500, 503);
const httpReply = fc.record({
    status,
    body: fc.oneof(document.map(value => JSON.stringify(value) ?? ""), fc.string({ maxLength: 40 })),
    header: fc.constantFrom(
        "",
        "x-request-id: other\r\n",
        "x-filbertrelay-executed: no\r\n",
        "content-type: application/json\r\n",
    ),
    lengthError: fc.constantFrom(0, 0, 0, 0, 5, -1),
    closes: fc.boolean(),
}).map(({ status: code, body, header, lengthError, closes }): Reply => {
    const length = Math.max(0, Buffer.byteLength(body) + lengthError);
    return { bytes: Buffer.from(`HTTP/1.1 ${code} Any\r\n${header}content-length: ${length}\r\n\r\n${body}`), closes };
});
const anyReply = fc.oneof(
    { weight: 5, arbitrary: httpReply },
    {
        weight: 1,
        arbitrary: fc.record({ bytes: fc.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes)), closes: fc.boolean() }),
    },
);

type Call = () => Promise<unknown>;

function callsOf(service: string, address: string): { readonly calls: readonly Call[]; readonly stop: () => Promise<void>; } {
    const options = { url: `http://${address}`, clock, timeoutMs };
    if (service === "key-value") {
        const client = createKeyValueClient(options);
        return {
            stop: () => client.stop(),
            calls: [
                () => client.get("k", "shards"),
                () => client.list("k", "shards"),
                () => client.compareAndSwap("k", "v", { expectedVersion: 0, purpose: "shards" }),
                () => client.watch("k", { afterVersion: 0, timeoutMs: 10, purpose: "shards" }),
                () => client.grantLease(1, "planner"),
                () => client.renewLease("l", "planner"),
            ],
        };
    }
    if (service === "cloud") {
        const client = createCloudClient(options);
        const hostId = brandAs<HostId>("h1");
        const calls = [
            () => client.listHosts(),
            () => client.getHost(hostId),
            () => client.terminateHost(hostId),
            () => client.listPrices(),
        ];
        return { stop: () => client.stop(), calls: [...calls, () => client.waitForNotices(0, { timeoutMs: 10 })] };
    }
    if (service === "host-list" || service === "weight-store") {
        const list = createHostListClient(options);
        const weights = createWeightStoreClient(options);
        const calls = service === "host-list" ?
            [() => list.list()] :
            [() => weights.readRate(), () => weights.describe("k", "k")];
        return { stop: () => Promise.all([list.stop(), weights.stop()]).then(() => undefined), calls };
    }
    return service === "engine" ? engineCalls(address) : serviceCalls(address);
}

function engineCalls(address: string): { readonly calls: readonly Call[]; readonly stop: () => Promise<void>; } {
    const driver = createEngineDriver({ clock, callTimeoutMs: timeoutMs, moveTimeoutMs: timeoutMs });
    const id = brandAs<RequestId>("k");
    const order = { fencingToken: 1, model: "m", modelVersion: "1", adapters: [], role: "mixed" as const };
    return {
        stop: () => driver.stop(),
        calls: [
            () => collect(driver.generate(address, engineRequest("k", "p"), { silenceMs: timeoutMs })).then(endOf),
            () => collect(driver.resume(address, id, 0, { silenceMs: timeoutMs })).then(endOf),
            () => driver.cancel(address, id),
            () => driver.readLoad(address),
            () => driver.readCacheEvents(address, 0, { timeoutMs: 10 }),
            () => driver.moveCache(address, address, id),
            () => driver.sendOrder(address, order),
        ],
    };
}

function serviceCalls(address: string): { readonly calls: readonly Call[]; readonly stop: () => Promise<void>; } {
    const driver = createServiceDriver({ clock });
    const base = { requestId: brandAs<RequestId>("k"), method: "POST", path: "/", headers: {}, body: Buffer.from("b") };
    const keyed: ServiceRequest = { ...base, idempotencyKey: brandAs<IdempotencyKey>("k") };
    const calls = [() => driver.send(address, base, { timeoutMs }), () => driver.send(address, keyed, { timeoutMs })];
    return { stop: () => driver.stop(), calls: [...calls, () => driver.queryKey(address, keyed.idempotencyKey!, { timeoutMs })] };
}

/** A stream's outcome is its last item; anything after an end is a fault. */
function endOf(items: readonly EngineItem[]): unknown {
    const ends = items.filter(item => item.type !== "token");
    assert.deepEqual([ends.length, items.at(-1)?.type === "token"], [1, false]);
    const [end] = ends;
    return end?.type === "issue" ? { ok: false, issue: end.issue } : { ok: true };
}

Then(
    "{int} calls of each method of the {string} client end with a checked value or an issue",
    async function(this: ReplyWorld, numRuns: number, service: string) {
        const { calls, stop } = callsOf(service, this.address);
        await fc.assert(
            fc.asyncProperty(anyReply, async reply => {
                this.nextReply = reply;
                const receivedBefore = this.receivedRequests;
                const outcomes = await Promise.all(calls.map(call => withoutHang(call())));
                for (const outcome of outcomes as { ok: boolean; issue?: { code: string; executed?: string; }; }[]) {
                    assert.equal(typeof outcome.ok, "boolean");
                    assert.ok(outcome.ok || (typeof outcome.issue?.code === "string" && outcome.issue.code.includes(".")));
                }
                const refused = outcomes.filter(outcome =>
                    (outcome as { issue?: { executed?: string; }; }).issue?.executed === "no"
                ).length;
                const isDeclared = reply.bytes.toString("latin1").includes("x-filbertrelay-executed: no");
                if (refused > 0 && !isDeclared) {
                    // On a busy machine a connection can take longer than the timeout; then nothing was written, which the server confirms.
                    await delay(arrivalMs);
                    const received = this.receivedRequests - receivedBefore;
                    assert.ok(
                        received <= calls.length - refused,
                        "'not run' was reported for a request that the server received.",
                    );
                }
            }),
            { seed, numRuns, includeErrorInReport: true },
        );
        await stop();
    },
);

/** Calls in a piece of what a server received; the import that follows a KV cache's export belongs to the same call. */
function countRequests(data: Buffer): number {
    return (data.toString("latin1").match(/^[A-Z]+ \S+ HTTP\/1\.1\r$/gm) ?? []).filter(line =>
        !line.startsWith("POST /v1/cache ")
    ).length;
}

async function withoutHang<T>(call: Promise<T>): Promise<T> {
    const controller = new AbortController();
    const hang = clock.sleep(hangMs, controller.signal).then(() => assert.fail("The call hangs."), () => undefined as never);
    try {
        return await Promise.race([call, hang]);
    }
    finally {
        controller.abort();
    }
}

function event(id: string | undefined, chunk: unknown): string {
    return `${id === undefined ? "" : `id: ${id}\n`}data: ${typeof chunk === "string" ? chunk : JSON.stringify(chunk)}\n\n`;
}

function tokenEvent(offset: number, requestId: string, content: unknown): string {
    return event(String(offset), { id: requestId, choices: [{ index: 0, delta: { content }, finish_reason: null }] });
}

const finishEvent = event("9", { id: "mine", choices: [{ index: 0, delta: {}, finish_reason: "length" }] });

const anyEvent = fc.oneof(
    {
        weight: 12,
        arbitrary: fc.tuple(fc.integer({ min: 0, max: 8 }), fc.constantFrom("t", "é")).map(([offset, text]) =>
            tokenEvent(offset, "mine", text)
        ),
    },
    { weight: 1, arbitrary: fc.constant(tokenEvent(4, "other", "secret")) },
    { weight: 1, arbitrary: fc.anything().map(content => tokenEvent(3, "mine", content)) },
    {
        weight: 1,
        arbitrary: fc.constantFrom(
            "data: {\n\n",
            ": comment\n\n",
            "id: 4\n\n",
            "data: [DONE]\n\n",
            "event: x\ndata: 1\n\n",
            finishEvent,
        ),
    },
    { weight: 1, arbitrary: fc.string({ maxLength: 30 }) },
);

Then("{int} arbitrary event streams give consecutive tokens of the request and one end", function(numRuns: number) {
    fc.assert(
        fc.property(fc.array(anyEvent, { maxLength: 30 }), fc.integer({ min: 0, max: 3 }), (events, known) => {
            const reader = new EngineStreamReader(brandAs<RequestId>("mine"), known);
            const items = events.flatMap(text => [...reader.feed(text)]);
            const tokens = items.flatMap(item => item.type === "token" ? [item.token] : []);
            assert.deepEqual(tokens.map(token => token.offset), tokens.map((...[, index]) => known + index + 1));
            assert.ok(tokens.every(token => token.text !== "secret"));
            const ends = items.filter(item => item.type !== "token");
            assert.ok(ends.length === 0 || (ends.length === 1 && items.at(-1) === ends[0] && reader.isFinished));
        }),
        { seed, numRuns },
    );
});

Then("{int} answers split at arbitrary bytes are read unchanged", async function(this: ReplyWorld, numRuns: number) {
    const texts = [...Array(40).keys()].map(index => answerToken(7, index + 1));
    const stream = Buffer.from(texts.map((text, index) => tokenEvent(index + 1, "mine", text)).join("") + finishEvent);
    fc.assert(
        fc.property(fc.array(fc.nat(stream.length), { maxLength: 60 }), cuts => {
            const reader = new EngineStreamReader(brandAs<RequestId>("mine"), 0);
            const decoder = new TextDecoder();
            const borders = [0, ...cuts.sort((left, right) => left - right), stream.length];
            const items = borders.slice(1).flatMap((
                end,
                index,
            ) => [...reader.feed(decoder.decode(stream.subarray(borders[index], end), { stream: true }))]);
            assert.deepEqual(items.flatMap(item => item.type === "token" ? [item.token.text] : []), texts);
            assert.equal(items.at(-1)?.type, "finish");
        }),
        { seed, numRuns },
    );
});

Given(
    "a call budget of {int} reads and {int} writes per second under a virtual clock",
    function(this: ReplyWorld, readsPerSecond: number, writesPerSecond: number) {
        this.virtualClock = createVirtualClock();
        this.budget = createCallBudget({ clock: this.virtualClock, readsPerSecond, writesPerSecond, maxWaitMs: 500 });
    },
);

When(
    "{int} writes for {string} and {int} reads for {string} are taken at once",
    function(this: ReplyWorld, writes: number, writer: CallPurpose, reads: number, reader: CallPurpose) {
        this.waits = [...Array(writes).keys()].map(() => this.budget.acquire("write", writer));
        assert.deepEqual([...Array(reads).keys()].map(() => this.budget.acquire("read", reader)), Array(reads).fill(0));
    },
);

Then(
    "{int} writes may be sent within {int} ms and {int} are refused",
    function(this: ReplyWorld, sent: number, limitMs: number, refused: number) {
        assert.equal(this.waits.filter(wait => wait !== undefined && wait <= limitMs).length, sent);
        assert.equal(this.waits.filter(wait => wait === undefined).length, refused);
    },
);

Then(
    "the budget reports {int} writes and {int} refusals for {string} and {int} reads for {string}",
    function(this: ReplyWorld, writes: number, refused: number, writer: CallPurpose, reads: number, reader: CallPurpose) {
        const counts = new Map(this.budget.report().counts.map(count => [count.purpose, count]));
        assert.deepEqual(counts.get(writer), { purpose: writer, reads: 0, writes, refused });
        assert.deepEqual(counts.get(reader), { purpose: reader, reads, writes: 0, refused: 0 });
    },
);

Then("after {int} ms {int} further writes may be sent at once", function(this: ReplyWorld, elapsedMs: number, writes: number) {
    this.virtualClock.advance(elapsedMs);
    this.virtualClock.advance(500);
    assert.deepEqual([...Array(writes).keys()].map(() => this.budget.acquire("write", "shards")), Array(writes).fill(0));
});

Then("a client with a used-up budget sends nothing and ends with {string}", async function(this: ReplyWorld, code: string) {
    while (this.budget.acquire("write", "shards") !== undefined) {
        // Takes what is left.
    }
    let connections = 0;
    const server = createServer(() => connections += 1);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const client = createKeyValueClient({ url, clock: this.virtualClock as Clock, budget: this.budget });
    const outcome = await client.compareAndSwap("k", "v", { expectedVersion: 0, purpose: "shards" });
    assert.deepEqual([outcome.ok ? "ok" : outcome.issue.code, connections], [code, 0]);
    await client.stop();
    server.close();
});
