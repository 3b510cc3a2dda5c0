import { Given, Then, When } from "@cucumber/cucumber";
import type { Store } from "@filbertrelay/connectors";
import { DutyLease, StoreMirror } from "@filbertrelay/ingress";
import { brandAs, createSystemClock, silentEventLog } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, Incarnation } from "@filbertrelay/kernel";
import { createPlatformDuties, createPlatformStore } from "@filbertrelay/platform";
import { notExecutedResponse, renderEvent, renderResponse, renderStreamHead } from "@filbertrelay/platform/standins";
import type { EngineBehaviour } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { customerKey, IngressFixture, waitFor } from "../support/ingress.js";
import type { CallerResponse } from "../support/ingress.js";
import { streamRest } from "./ingress.endpoint.js";
import type { IngressWorld } from "./ingress.endpoint.js";

const clock = createSystemClock();

interface TroubleWorld extends IngressWorld {
    /** Ids of the requests that engines executed. */
    ran: string[];
    endless: { readonly status: number; readonly elapsedMs: number; };
    memoryBefore: number;
    duringStop: readonly { readonly answer: CallerResponse; readonly sentMs: number; }[];
    stoppedMs: number;
    client: Store;
    commits: readonly { readonly ok: boolean; }[];
    lead: DutyLease;
    stopMirror: () => Promise<void>;
    order: { readonly ms: number; endedMs: number; };
    releasedMs: number;
}

Given(
    "engines whose refusal of one request is duplicated before the response to the next",
    function(this: TroubleWorld) {
        this.ran = [];
        const refused = new Set<unknown>();
        this.ingress.setBehaviours((received, { send }) => {
            if (!refused.has(send)) {
                refused.add(send);
                send(notExecutedResponse);
                return;
            }
            this.ran.push(received.headers["x-filbertrelay-attempt-id"] ?? "");
            send(notExecutedResponse);
            setTimeout(() => send(renderResponse(received)), 5);
        });
    },
);

Then("no request ran twice and none that ran was reported as not executed", function(this: TroubleWorld) {
    assert.ok(this.ran.length > 0);
    assert.equal(new Set(this.ran).size, this.ran.length, this.ran.join());
    for (const { requestId, status } of this.answers) {
        assert.ok(status !== 503 || !this.ran.includes(requestId), `${requestId} ran and got ${status}`);
    }
});

Given("an ingress whose retry budget is used up", async function(this: TroubleWorld) {
    await this.ingress.stop();
    this.ingress = new IngressFixture();
    await this.ingress.start({ hasConfiguration: true, promises: "repeatRatio = 0\nrepeatExtra = 0" });
    // One retry per window is always allowed.
    this.ingress.setBehaviours((_, { reset }) => reset());
    await this.ingress.send("slowStream", { body: "order" });
    assert.equal(this.ingress.received().length, 2);
    await new Promise(resolve => setTimeout(resolve, 1_000));
});

const stallBytes: Readonly<Record<string, string>> = {
    "comments": ":\n\n",
    "parts of an event": "data: t",
};

Given(
    /^engines of which the first sends (.+) every (\d+) ms after its second event$/,
    function(this: TroubleWorld, kind: string, everyMs: number) {
        const bytes = stallBytes[kind];
        assert.ok(bytes !== undefined, `Unknown stall '${kind}'.`);
        let isFirst = true;
        this.ingress.setBehaviours((received, connection) => {
            if (!isFirst) {
                streamRest(received, connection);
                return;
            }
            isFirst = false;
            const { send, onClosed } = connection;
            send(renderStreamHead(received) + renderEvent(1) + renderEvent(2));
            const timer = setInterval(() => send(`${bytes.length.toString(16)}\r\n${bytes}\r\n`), Number(everyMs));
            onClosed(() => clearInterval(timer));
        });
    },
);

const block = "x".repeat(65_536);
const endlessBytes: Readonly<
    Record<string, (received: Parameters<EngineBehaviour>[0]) => { readonly start: string; readonly rest: string; }>
> = {
    "a head line": () => ({ start: "HTTP/1.1 200 OK\r\nX-Long: ", rest: block }),
    "head lines": () => ({ start: "HTTP/1.1 200 OK\r\n", rest: `X-Line: ${"y".repeat(80)}\r\n`.repeat(700) }),
    "a body": received => ({
        start: renderResponse(received).replace(/Content-Length: .*/, "Content-Length: 999999999999"),
        rest: block,
    }),
    "trailers": received => ({
        start: `${renderStreamHead(received)}4\r\ndone\r\n0\r\n`,
        rest: `X-Line: ${"y".repeat(80)}\r\n`.repeat(700),
    }),
    "a chunk extension": received => ({ start: `${renderStreamHead(received)}4;`, rest: block }),
};

Given(/^engines that send (.+) without end$/, function(this: TroubleWorld, kind: string) {
    const describe = endlessBytes[kind];
    assert.ok(describe !== undefined, `Unknown kind of bytes '${kind}'.`);
    this.memoryBefore = process.memoryUsage().rss;
    this.ingress.setBehaviours((received, { send, onClosed }) => {
        const { start, rest } = describe(received);
        send(start);
        const timer = setInterval(() => send(rest), 1);
        onClosed(() => {
            clearInterval(timer);
            this.closedAfterMs = performance.now();
        });
    });
});

Then("the host's memory has grown by less than {int} MB", function(this: TroubleWorld, limitMb: number) {
    const usedMb = (process.memoryUsage().rss - this.memoryBefore) / 1_048_576;
    assert.ok(usedMb < limitMb, `${usedMb} MB`);
});

When("a caller sends a {string} request whose body never ends", async function(this: TroubleWorld, route: string) {
    const [host, port] = this.ingress.callerAddress.split(":");
    const startMs = performance.now();
    this.endless = await new Promise(resolve => {
        const socket = connect(Number(port), host);
        const headers = `Host: shop.example\r\nX-Filbertrelay-Attempt-Id: endless-1\r\nAuthorization: Bearer ${customerKey}\r\n`;
        socket.write(`POST /${route}/item HTTP/1.1\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`);
        const timer = setInterval(() => socket.write(`${block.length.toString(16)}\r\n${block}\r\n`), 5);
        let received = "";
        socket.on("data", bytes => received += bytes.toString("latin1"));
        socket.on("error", () => undefined);
        const giveUp = setTimeout(() => socket.destroy(), 5_000);
        socket.on("close", () => {
            clearInterval(timer);
            clearTimeout(giveUp);
            resolve({ status: Number(/^HTTP\/1\.1 (\d+)/.exec(received)?.[1] ?? 0), elapsedMs: performance.now() - startMs });
        });
    });
});

Then("it gets {int} within {int} ms and its connection is closed", function(this: TroubleWorld, status: number, limitMs: number) {
    assert.equal(this.endless.status, status);
    assert.ok(this.endless.elapsedMs <= limitMs, `${this.endless.elapsedMs} ms`);
});

When(
    "the host is asked to stop and {string} requests are sent every {int} ms until it refuses",
    async function(this: TroubleWorld, route: string, everyMs: number) {
        const drained = this.ingress.lifecycle.drain("test").then(() => {
            this.stoppedMs = performance.now();
        });
        const sent: Promise<{ answer: CallerResponse; sentMs: number; }>[] = [];
        let isRefused = false;
        while (!isRefused) {
            const sentMs = performance.now();
            sent.push(
                this.ingress.send(route, { body: "query" }).then(answer => {
                    isRefused ||= answer.status === 503;
                    return { answer, sentMs };
                }),
            );
            await new Promise(resolve => setTimeout(resolve, everyMs));
        }
        await drained;
        this.duringStop = await Promise.all(sent);
    },
);

Then("every request that was not refused is answered before the host has stopped", function(this: TroubleWorld) {
    const accepted = this.duringStop.filter(({ answer }) => answer.status !== 503);
    assert.ok(accepted.length > 0);
    for (const { answer, sentMs } of accepted) {
        assert.equal(answer.status, 200);
        assert.ok(sentMs + answer.elapsedMs <= this.stoppedMs + 5);
    }
});

function connectStore(world: TroubleWorld): Store {
    return createPlatformStore({ address: world.ingress.store.address, clock, timeoutMs: 700, onCall: () => undefined });
}

Given("a store that sends each response again with the next call on the same connection", function(this: TroubleWorld) {
    this.ingress.store.fault = "secondCopies";
    this.client = connectStore(this);
});

When("a commit is accepted and a second one conflicts with it", async function(this: TroubleWorld) {
    const commit = {
        era: this.client.era,
        expected: [{ key: "filbertrelay/test", revision: 0 }],
        writes: [{ key: "filbertrelay/test", value: "x" }],
    };
    this.commits = [await this.client.commit(commit), await this.client.commit(commit)];
});

Then("the second commit is not accepted", function(this: TroubleWorld) {
    assert.deepEqual(this.commits.map(({ ok }) => ok), [true, false]);
});

Then("a lease that has ended is not renewed, despite duplicates of earlier responses", async function(this: TroubleWorld) {
    const lease = await this.client.grantLease(5_000);
    assert.ok(lease.ok);
    assert.ok((await this.client.renewLease(lease.value)).ok);
    await this.client.endLease(lease.value);
    assert.equal((await this.client.renewLease(lease.value)).ok, false);
});

Given("a store that sends bodies without end", function(this: TroubleWorld) {
    this.ingress.store.fault = "endless";
    this.client = connectStore(this);
    this.memoryBefore = process.memoryUsage().rss;
});

When("a host lists its keys", async function(this: TroubleWorld) {
    const startMs = performance.now();
    const listed = await this.client.list("");
    this.endless = { status: listed.ok ? 200 : 0, elapsedMs: performance.now() - startMs };
});

Then("the read fails within {int} ms", function(this: TroubleWorld, limitMs: number) {
    assert.equal(this.endless.status, 0);
    assert.ok(this.endless.elapsedMs <= limitMs, `${this.endless.elapsedMs} ms`);
});

const leaseMs = 1_000;

Given("a duty holder whose order takes {int} ms", async function(this: TroubleWorld, orderMs: number) {
    const store = connectStore(this);
    const mirror = new StoreMirror({ store, clock, log: silentEventLog, draw: Math.random, applyMs: 2_000 });
    await mirror.start();
    const hostId = brandAs<HostId>("host-9");
    const incarnation = brandAs<Incarnation>("run-1");
    this.lead = new DutyLease({ store, mirror, clock, log: silentEventLog, hostId, incarnation, leaseMs, draw: Math.random });
    this.stopMirror = () => mirror.stop();
    await this.lead.start();
    await waitFor(() => Promise.resolve(this.lead.holder() !== undefined));
    this.order = { ms: orderMs, endedMs: Infinity };
});

When("it releases the duties while the order is in progress", async function(this: TroubleWorld) {
    const order = this.lead.runWhileHeld(async () => {
        await clock.sleep(this.order.ms);
        this.order.endedMs = performance.now();
    });
    await this.lead.release();
    this.releasedMs = performance.now();
    await order;
});

Then("the duties become free only after the order has ended", async function(this: TroubleWorld) {
    assert.ok(this.releasedMs >= this.order.endedMs, `${this.releasedMs} before ${this.order.endedMs}`);
    assert.equal(this.lead.holder(), undefined);
    assert.equal(await this.lead.runWhileHeld(() => Promise.resolve("made")), undefined);
    await this.stopMirror();
});

Then("an order that is started late in the lease is abandoned before the lease expires", async function(this: TroubleWorld) {
    // Accepts connections and never responds.
    const silent = createServer(() => undefined);
    await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(silent.address() as AddressInfo).port}`;
    const duties = createPlatformDuties({ address, clock, timeoutMs: 1_500, onCall: () => undefined });
    const startMs = performance.now();
    const order = { service: "assistant", failureDomain: brandAs<FailureDomainId>("zone-a"), count: 1, isReclaimable: false };
    const ordered = await duties.orderEndpoints({ hostId: brandAs<HostId>("host-9"), fencingToken: 1, validMs: 200 }, order);
    assert.equal(ordered.ok, false);
    assert.ok(performance.now() - startMs < 400, `${performance.now() - startMs} ms`);
    silent.close();
});

Given(
    "engines of which the first breaks off within the third event of a stream and the second answers {int}",
    function(this: TroubleWorld, status: number) {
        let isFirst = true;
        this.ingress.setBehaviours((received, { send, close }) => {
            if (!isFirst) {
                send(renderResponse(received, { status, body: "no such thing" }));
                return;
            }
            isFirst = false;
            send(renderStreamHead(received) + renderEvent(1) + renderEvent(2) + "40\r\nid: 3\ndata: to");
            setTimeout(close, 20);
        });
    },
);

Then(
    "the caller gets whole events only, no complete answer, and nothing after them within {int} ms",
    function(this: TroubleWorld, limitMs: number) {
        const [answer] = this.answers;
        assert.ok(answer !== undefined);
        assert.equal(answer.body, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n");
        assert.equal(answer.isComplete, false);
        assert.ok(answer.elapsedMs <= limitMs, `${answer.elapsedMs} ms`);
    },
);

Given(/^engines whose streams have neither length nor chunks and end (.+)$/, function(this: TroubleWorld, where: string) {
    const events = where === "within an event" ? "id: 1\ndata: token 1\n\nid: 2\nda" : "";
    this.ingress.setBehaviours((received, { send, close }) => {
        send(renderStreamHead(received).replace("Transfer-Encoding: chunked\r\n", "") + events);
        setTimeout(close, 20);
    });
});

Then("the caller gets no complete answer", function(this: TroubleWorld) {
    const [answer] = this.answers;
    assert.ok(answer !== undefined);
    assert.ok(!answer.isComplete || answer.status >= 500, `${answer.status}, complete`);
});
