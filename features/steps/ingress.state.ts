import { After, Given, Then, When } from "@cucumber/cucumber";
import { UsageReporter } from "@filbertrelay/ingress";
import type { DutyCalls } from "@filbertrelay/ingress";
import { failure, silentEventLog, success } from "@filbertrelay/kernel";
import { StandinStore } from "@filbertrelay/platform/standins";
import { createFleetClock, createUsageLedger } from "@filbertrelay/policy";
import type { CustomerCounts } from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { Contender, leaseMs } from "../support/contender.js";
import { createConfiguration, waitFor } from "../support/ingress.js";
import type { CallerResponse } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface StateWorld extends IngressWorld {
    pending: Promise<CallerResponse>;
    stopped: Promise<void>;
    stoppedAgain?: Promise<void>;
    store: StandinStore;
    contenders: Contender[];
    sent: { readonly window: number; readonly counts: CustomerCounts; }[];
    paused: Contender;
}

When("the first engine is registered as draining", async function(this: StateWorld) {
    this.ingress.registerEngine(this.ingress.engines[0]!, 0, "draining");
    await new Promise(resolve => setTimeout(resolve, 200));
});

Then("only the second engine received them", function(this: StateWorld) {
    assert.deepEqual(this.ingress.engines.map(engine => engine.requests.length), [0, this.answers.length]);
});

When("{int} s have passed", async function(seconds: number) {
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
});

When(
    "the first engine's entries are removed together with the history while watches deliver nothing",
    async function(this: StateWorld) {
        this.ingress.store.isHoldingWatches = true;
        await new Promise(resolve => setTimeout(resolve, 1_000));
        this.ingress.store.remove("servers/records-0");
        this.ingress.store.remove("servers/assistant-0");
        this.ingress.store.dropHistory();
        this.ingress.store.isHoldingWatches = false;
        await new Promise(resolve => setTimeout(resolve, 500));
    },
);

When("malformed entries and entries with wrong fields are written beside the engines", async function(this: StateWorld) {
    this.ingress.store.put("servers/foreign-1", "\u0000 no JSON");
    this.ingress.store.put("servers/foreign-2", { backend: "records", address: 7, state: "resting" });
    this.ingress.store.put("filbertrelay/hosts/foreign", { incarnation: 1 });
    await new Promise(resolve => setTimeout(resolve, 100));
});

When("the store drops its history and a route is added", function(this: StateWorld) {
    this.ingress.store.put("op/config", createConfiguration(9, ["added"]));
    this.ingress.store.dropHistory();
});

Then("a request on the added route is answered with {int}", async function(this: StateWorld, status: number) {
    await waitFor(async () => (await this.ingress.send("idempotent", { path: "/added/item" })).status === status);
});

When("a configuration with a lower version and without routes is written", async function(this: StateWorld) {
    this.ingress.store.put("op/config", createConfiguration(3, [], []));
    await new Promise(resolve => setTimeout(resolve, 200));
});

Then("a request on a known route is answered with {int}", async function(this: StateWorld, status: number) {
    assert.equal((await this.ingress.send("idempotent")).status, status);
});

When("the store does not respond for {int} s", async function(this: StateWorld, seconds: number) {
    this.ingress.store.fault = "silent";
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
});

Then("{int} requests are answered with {int}", async function(this: StateWorld, count: number, status: number) {
    for (let sent = 0; sent < count; sent += 1) {
        assert.equal((await this.ingress.send("idempotent")).status, status);
    }
});

Then("the directory lists the host's address and the host is ready", async function(this: StateWorld) {
    const answer = await this.ingress.directory() as { addresses: string[]; ttlS: number; };
    assert.deepEqual(answer.addresses, [this.ingress.callerAddress]);
    assert.ok(answer.ttlS > 0);
    assert.equal(await this.ingress.readiness(), 200);
});

When("the host is asked to stop again", function(this: StateWorld) {
    this.stoppedAgain = this.ingress.lifecycle.drain("test");
});

Then("neither stop ends before the request is answered with {int}", async function(this: StateWorld, status: number) {
    const order: string[] = [];
    const note = (name: string) => (): void => void order.push(name);
    void this.stopped.then(note("stop"));
    void this.stoppedAgain!.then(note("stop"));
    assert.equal((await this.pending).status, status);
    note("answer")();
    await Promise.all([this.stopped, this.stoppedAgain]);
    assert.deepEqual(order, ["answer", "stop", "stop"]);
});

When("the host is asked to stop while a request is in progress", async function(this: StateWorld) {
    this.pending = this.ingress.send("nonIdempotent", { body: "order" });
    await waitFor(() => Promise.resolve(this.ingress.received().length === 1));
    this.stopped = this.ingress.lifecycle.drain("test");
});

Then("the request is answered with {int}", async function(this: StateWorld, status: number) {
    assert.equal((await this.pending).status, status);
});

Then("the host is not ready and its entry in the store is gone", async function(this: StateWorld) {
    assert.equal(await this.ingress.readiness(), 503);
    await waitFor(() => Promise.resolve(this.ingress.store.keys("filbertrelay/hosts/").length === 0));
    await this.stopped;
});

Given("two hosts that contend for the duties", async function(this: StateWorld) {
    this.store = new StandinStore();
    await this.store.start();
    this.contenders = ["host-1", "host-2"].map(name => new Contender(this.store, name));
    await Promise.all(this.contenders.map(contender => contender.start()));
});

Then("exactly one of them holds the duties", async function(this: StateWorld) {
    await waitFor(() => Promise.resolve(this.contenders.some(({ lead }) => lead.holder() !== undefined)));
    for (let check = 0; check < 20; check += 1) {
        assert.ok(this.contenders.filter(({ lead }) => lead.holder() !== undefined).length <= 1);
        await new Promise(resolve => setTimeout(resolve, 20));
    }
});

Then(
    "after the holder was paused for longer than its lease the other host holds them with a higher fencing token",
    async function(this: StateWorld) {
        await waitFor(() => Promise.resolve(this.contenders.some(({ lead }) => lead.holder() !== undefined)));
        this.paused = this.contenders.find(({ lead }) => lead.holder() !== undefined)!;
        const { fencingToken } = this.paused.lead.holder()!;
        const other = this.contenders.find(contender => contender !== this.paused)!;
        const pausedAt = performance.now();
        this.paused.isPaused = true;
        await waitFor(() => Promise.resolve((other.lead.holder()?.fencingToken ?? 0) > fencingToken));
        this.paused.resume(performance.now() - pausedAt);
    },
);

Then("the paused host does not act when it resumes", async function(this: StateWorld) {
    assert.equal(this.paused.lead.holder(), undefined);
    await new Promise(resolve => setTimeout(resolve, leaseMs));
    assert.equal(this.paused.lead.holder(), undefined);
    await Promise.all(this.contenders.map(contender => contender.stop()));
    this.store.stop();
});

Given("the mirror of a store that did not respond for {int} s", async function(this: StateWorld, seconds: number) {
    this.store = new StandinStore();
    await this.store.start();
    this.paused = new Contender(this.store, "host-1");
    await this.paused.mirror.start();
    await waitFor(() => Promise.resolve(this.paused.mirror.revision > 0));
    this.store.fault = "silent";
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
    this.store.put("key", "value");
    this.store.fault = "none";
    await waitFor(() => Promise.resolve(this.paused.mirror.get("key") !== undefined));
});

Then(
    "an entry that is removed when the store responds again has a grace period of between 1 s and 1.5 s",
    function(this: StateWorld) {
        const graceMs = this.paused.mirror.removalGraceMs();
        assert.ok(graceMs >= 1_000 && graceMs <= 1_500, String(graceMs));
    },
);

Then("an entry that is removed 2.4 s later has no grace period", async function(this: StateWorld) {
    await new Promise(resolve => setTimeout(resolve, 2_400));
    assert.equal(this.paused.mirror.removalGraceMs(), 0);
    await this.paused.mirror.stop();
    this.store.stop();
});

const usageWindowMs = 500;

Given("a usage reporter whose report gets no response", async function(this: StateWorld) {
    this.store = new StandinStore();
    await this.store.start();
    this.sent = [];
    const createContender = (name: string, count: number, isAnswered: boolean): Contender =>
        new Contender(this.store, name, {
            createDuty: contender => {
                const usage = createUsageLedger(usageWindowMs);
                const duties: DutyCalls = {
                    reportUsage: (_, window, counts) => {
                        this.sent.push({ window, counts });
                        const lost = failure({ code: "duty.unavailable" as const, message: "The response was lost." });
                        return Promise.resolve(isAnswered ? success(undefined) : lost);
                    },
                    orderEndpoints: () => Promise.resolve(success(undefined)),
                };
                const now = new Date();
                for (let request = 0; request < count; request += 1) {
                    for (let window = 0; window < 40; window += 1) {
                        usage.record("crew", new Date(now.getTime() + window * usageWindowMs));
                    }
                }
                return new UsageReporter({
                    store: contender.client(),
                    mirror: contender.mirror,
                    clock: contender.clock,
                    log: silentEventLog,
                    lead: contender.lead,
                    duties,
                    usage,
                    finals: contender.finals,
                    fleetClock: createFleetClock({ clock: contender.clock }),
                    windowMs: usageWindowMs,
                    dueMs: 8_000,
                });
            },
        });
    this.contenders = [createContender("host-1", 3, false), createContender("host-2", 5, true)];
    await this.contenders[0]!.start();
    await waitFor(() => Promise.resolve(this.sent.length > 0));
});

When("another host with different counts takes over the duties", async function(this: StateWorld) {
    await this.contenders[0]!.stop();
    const former = new Set(this.sent.map(({ window }) => window));
    const formerlySent = this.sent.length;
    await this.contenders[1]!.start();
    await waitFor(() => Promise.resolve(this.sent.slice(formerlySent).some(({ window }) => former.has(window))));
    await this.contenders[1]!.stop();
    this.store.stop();
});

Then("both sent the same counts for the same window", function(this: StateWorld) {
    const byWindow = new Map<number, string>();
    for (const { window, counts } of this.sent) {
        const text = JSON.stringify(counts);
        assert.equal(byWindow.get(window) ?? text, text, `window ${window}`);
        byWindow.set(window, text);
    }
    assert.ok(this.sent.length > byWindow.size);
});

Given("a host with a pause of {int} s and an empty store", async function(this: StateWorld, seconds: number) {
    this.store = new StandinStore();
    await this.store.start();
    this.contenders = [new Contender(this.store, "host-1", { pauseMs: seconds * 1_000 })];
    await this.contenders[0]!.start();
});

When("the host crashes and starts again", async function(this: StateWorld) {
    this.contenders[0]!.isPaused = true;
    this.store.remove("filbertrelay/lead");
    const restarted = new Contender(this.store, "host-1", { pauseMs: 3_000 });
    this.contenders.unshift(restarted);
    await restarted.start();
});

Then(
    "it holds the duties after at least {int} ms and at most {int} ms",
    async function(this: StateWorld, leastMs: number, mostMs: number) {
        const startMs = performance.now();
        await waitFor(() => Promise.resolve(this.contenders[0]!.lead.holder() !== undefined));
        const elapsedMs = performance.now() - startMs;
        assert.ok(elapsedMs >= leastMs && elapsedMs <= mostMs, `${elapsedMs} ms`);
    },
);

Given("the store mirror of a standby host", async function(this: StateWorld) {
    this.store = new StandinStore();
    await this.store.start();
    const contender = new Contender(this.store, "host-1");
    this.contenders = [contender];
    contender.mirror.shareWatch({ watchRole: () => "standby", onMaterialChanges: () => undefined });
    await contender.mirror.start();
    // The first read counts as the end of an outage.
    await waitFor(() => Promise.resolve(contender.mirror.revision > 0 && contender.mirror.removalGraceMs() === 0));
    // From here on the store responds to no host; updates come from peers only.
    this.store.fault = "silent";
});

Then(
    /^it has (no|a) grace period after its peers reported nothing about the store for (\d+) s$/,
    async function(this: StateWorld, expected: string, seconds: string) {
        const { mirror } = this.contenders[0]!;
        const confirm = (): boolean => mirror.followPeer({ ...mirror.position, confirmedMs: performance.now() });
        confirm();
        await new Promise(resolve => setTimeout(resolve, Number(seconds) * 1_000));
        confirm();
        assert.equal(mirror.removalGraceMs() > 0, expected === "a");
    },
);

After(async function(this: Partial<StateWorld>) {
    if (this.contenders !== undefined) {
        await Promise.all(this.contenders.map(contender => contender.stop()));
        this.store?.stop();
    }
});
