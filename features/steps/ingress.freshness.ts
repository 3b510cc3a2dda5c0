import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Store, StoreIssue, StoreItem } from "@filbertrelay/connectors";
import { HostTable, PeerExchange, StoreMirror, StoreSync } from "@filbertrelay/ingress";
import type { ServingHosts } from "@filbertrelay/ingress";
import { brandAs, createVirtualClock, failure, silentEventLog, success } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, Incarnation, Outcome, VirtualClock } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import assert from "node:assert/strict";
import { createTestFindings } from "../support/findings.js";

type Listed = Awaited<ReturnType<Store["list"]>>;
type Watched = Awaited<ReturnType<Store["watch"]>>;

const ownId = brandAs<HostId>("host-b");
const callingId = brandAs<HostId>("host-a");
const calledId = brandAs<HostId>("host-c");
const namedId = brandAs<HostId>("host-d");
const item: StoreItem = { key: "op/item", value: "first", revision: 1 };
const historyGone: Outcome<never, StoreIssue> = failure({ code: "store.historyGone", message: "The history is gone." });

interface FreshnessWorld {
    clock: VirtualClock;
    scripted: ScriptedStore;
    standbyStore: ScriptedStore;
    mirror: StoreMirror;
    mirrors: StoreMirror[];
    askedMs: number[];
    exchanging: ExchangingHost;
    attached: Record<string, number>;
}

/** A store whose answers the scenario gives; calls wait until then. */
class ScriptedStore {
    readonly watchedMs: number[] = [];
    listings = 0;
    listed: ((outcome: Listed) => void) | undefined;
    watched: ((outcome: Watched) => void) | undefined;
    /** Answers listings at once, instead of waiting for the scenario. */
    answerListing: (() => Listed) | undefined;

    constructor(readonly clock: VirtualClock) {}

    get client(): Store {
        const client: Partial<Store> = {
            era: 0,
            onEra: () => undefined,
            list: () => {
                this.listings += 1;
                const { answerListing } = this;
                return new Promise(resolve => {
                    this.listed = resolve;
                    if (answerListing !== undefined) {
                        setImmediate(() => resolve(answerListing()));
                    }
                });
            },
            watch: () => {
                this.watchedMs.push(this.clock.monotonicMs());
                return new Promise(resolve => {
                    this.watched = resolve;
                });
            },
        };
        return client as Store;
    }
}

async function settle(): Promise<void> {
    for (let round = 0; round < 5; round += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

/** Advances in small steps, so that what follows a timer happens at its time. */
async function advance(clock: VirtualClock, ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += 10) {
        clock.advance(10);
        await settle();
    }
}

function createMirror(world: FreshnessWorld, store: ScriptedStore, applyMs: number): StoreMirror {
    const mirror = new StoreMirror({ store: store.client, clock: world.clock, log: silentEventLog, draw: () => 0.5, applyMs });
    world.mirrors = [...world.mirrors ?? [], mirror];
    return mirror;
}

async function startAndList(store: ScriptedStore, mirror: StoreMirror): Promise<void> {
    await mirror.start();
    await settle();
    store.listed!(success({ items: [item], era: 0, revision: 1 }));
    await settle();
}

Given("a host that read the store", async function(this: FreshnessWorld) {
    this.clock = createVirtualClock();
    this.scripted = new ScriptedStore(this.clock);
    this.mirror = createMirror(this, this.scripted, 2_000);
    await startAndList(this.scripted, this.mirror);
});

When(
    "its watch finds after {int} ms that the history is gone, and a listing takes {int} ms",
    async function(this: FreshnessWorld, watchMs: number, listingMs: number) {
        await advance(this.clock, watchMs);
        this.scripted.watched!(historyGone);
        await settle();
        await advance(this.clock, listingMs);
    },
);

When("its watch brings a change after {int} ms", async function(this: FreshnessWorld, watchMs: number) {
    await advance(this.clock, watchMs);
    this.scripted.watched!(success({ changes: [{ ...item, value: "second", revision: 2 }], era: 0, revision: 2 }));
    await settle();
    assert.equal(this.mirror.revision, 2);
});

When("its watch brings nothing after {int} ms", async function(this: FreshnessWorld, watchMs: number) {
    await advance(this.clock, watchMs);
    this.scripted.watched!(success({ changes: [], era: 0, revision: 1 }));
    await settle();
});

Then("its copy counts as {int} ms old", function(this: FreshnessWorld, ageMs: number) {
    assert.equal(this.mirror.ageMs(), ageMs);
});

Given(
    "hosts that rely on peers for changes that they must apply within {int} ms",
    async function(this: FreshnessWorld, ms: number) {
        this.clock = createVirtualClock();
        this.scripted = new ScriptedStore(this.clock);
        this.standbyStore = new ScriptedStore(this.clock);
        for (const [role, store] of [["reserve", this.scripted], ["standby", this.standbyStore]] as const) {
            const mirror = createMirror(this, store, ms);
            mirror.shareWatch({ watchRole: () => role, onMaterialChanges: () => undefined });
            await startAndList(store, mirror);
        }
    },
);

When("their peers report nothing", async function(this: FreshnessWorld) {
    await advance(this.clock, 900);
});

Then(
    "the reserve host watches the store after {int} ms and the standby host after {int} ms",
    function(this: FreshnessWorld, reserveMs: number, standbyMs: number) {
        assert.deepEqual([this.scripted.watchedMs[0], this.standbyStore.watchedMs[0]], [reserveMs, standbyMs]);
    },
);

Given("a host whose listings find that the history is gone", async function(this: FreshnessWorld) {
    this.clock = createVirtualClock();
    this.scripted = new ScriptedStore(this.clock);
    this.scripted.answerListing = () => historyGone;
    this.mirror = createMirror(this, this.scripted, 2_000);
    await this.mirror.start();
});

Then("it makes at most {int} listings in {int} ms", async function(this: FreshnessWorld, limit: number, ms: number) {
    await advance(this.clock, ms);
    const { listings } = this.scripted;
    this.scripted.answerListing = undefined;
    assert.ok(listings > 1 && listings <= limit, `${listings} listings`);
});

Given(
    "a host that relies on peers for changes that it must apply within {int} ms",
    async function(this: FreshnessWorld, ms: number) {
        this.clock = createVirtualClock();
        this.scripted = new ScriptedStore(this.clock);
        this.mirror = createMirror(this, this.scripted, ms);
        this.askedMs = [];
    },
);

When(
    "a peer that can only send all items reports newer changes after {int} ms and after {int} ms",
    async function(this: FreshnessWorld, firstMs: number, secondMs: number) {
        const peers = {
            handle: () => undefined,
            call: () => {
                this.askedMs.push(this.clock.monotonicMs());
                return new Promise(() => undefined);
            },
        };
        const watching = { hostId: callingId, failureDomain: brandAs<FailureDomainId>("domain-1") };
        const sync = new StoreSync({
            clock: this.clock,
            hostId: ownId,
            peers: peers as unknown as TcpPeerNetwork,
            mirror: this.mirror,
            listReachable: () => [],
            serving: { isFullFleet: false, serving: [watching] } as unknown as ServingHosts,
            applyMs: 1_000,
        });
        await sync.start();
        await startAndList(this.scripted, this.mirror);
        const status = { revision: 9, materialRevision: 9, historyStart: 9, storeAgeMs: 0 };
        for (const passMs of [firstMs, secondMs - firstMs]) {
            await advance(this.clock, passMs);
            sync.reconcile(callingId, status, undefined);
        }
    },
);

Then("it asks the peer once, after {int} ms", function(this: FreshnessWorld, ms: number) {
    assert.deepEqual(this.askedMs, [ms]);
});

type Handler = (body: unknown, context: { readonly from: HostId; }) => Promise<unknown>;

/** A host's exchange behind a network whose calls and replies the scenario plays. */
class ExchangingHost {
    readonly exchange: PeerExchange;
    readonly #handlers = new Map<string, Handler>();
    readonly #calls = new Map<string, (reply: unknown) => void>();
    /** Topics and peers of all calls, in their order. */
    readonly calls: string[] = [];

    constructor(clock: VirtualClock, hosts: readonly HostId[]) {
        const peers = {
            handle: ({ name }: { readonly name: string; }, handler: Handler) => void this.#handlers.set(name, handler),
            call: (peer: HostId, { name }: { readonly name: string; }) =>
                new Promise(resolve => {
                    this.calls.push(`${name} ${peer}`);
                    this.#calls.set(`${name} ${peer}`, resolve);
                }),
            setAddress: () => undefined,
            forget: () => undefined,
        };
        this.exchange = new PeerExchange({
            clock,
            log: silentEventLog,
            hostId: ownId,
            incarnation: brandAs<Incarnation>("run-1"),
            peers: peers as unknown as TcpPeerNetwork,
            hosts: createHosts(hosts),
            counts: {
                quota: policy.createUsageQuota({ windowMs: 8_000, tolerance: 0, nowMs: clock.monotonicMs() }),
                usage: policy.createUsageLedger(5_000),
                loads: policy.createLoadTracker(),
                demand: policy.createDemandMeter(),
                callerWork: policy.createDemandMeter(),
            },
            fleetClock: policy.createFleetClock({ clock }),
            findings: createTestFindings(ownId),
            dutyHolder: () => undefined,
        });
    }

    receive(topic: string, from: HostId, body: unknown): Promise<unknown> {
        return this.#handlers.get(topic)!(body, { from });
    }

    /** Answers the last call of a topic to a peer. */
    answer(topic: string, peer: HostId, reply: unknown): void {
        this.#calls.get(`${topic} ${peer}`)!(success(reply));
    }

    /** Names of the peers that a topic was called at. */
    calledAt(topic: string): readonly HostId[] {
        return [...this.#calls.keys()].filter(key => key.startsWith(`${topic} `)).map(key =>
            brandAs<HostId>(key.slice(topic.length + 1))
        );
    }
}

/** A table of registered hosts; the first ones are the strongest. */
function createHosts(hosts: readonly HostId[]): HostTable {
    let listener: Parameters<StoreMirror["listen"]>[1] | undefined;
    const mirror: Partial<StoreMirror> = { listen: (_, added) => void (listener = added) };
    const table = new HostTable({ mirror: mirror as StoreMirror, log: silentEventLog });
    hosts.forEach((hostId, index) => {
        const value = JSON.stringify({
            incarnation: "run-1",
            callerAddress: "127.0.0.1:1",
            peerAddress: "127.0.0.1:1",
            failureDomain: `domain-${index % 3}`,
            strength: hosts.length - index,
        });
        listener!({ key: `filbertrelay/hosts/${hostId}`, value, revision: index + 1 }, { way: "listing" });
    });
    return table;
}

const knowledge = { revision: 0, materialRevision: 0 };
const use = { quotaUse: { missingMs: [], customers: {} }, demand: {}, endpointUse: {}, callerWork: {} };
const hostReport = { incarnation: "run-1", sentAtMs: 0, knowledge, use, windowCounts: {}, servingWork: 0, attached: {} };
const attachReport = { incarnation: "run-1", sentAtMs: 0, knowledge, isParticipant: false, windowCounts: {} };

Given("a host that exchanges with peers", async function(this: FreshnessWorld) {
    this.clock = createVirtualClock();
    this.exchanging = new ExchangingHost(this.clock, [callingId, ownId, calledId, namedId]);
    await this.exchanging.exchange.start();
});

When(
    "another host reports to it and it answers two reports {int} ms apart",
    async function(this: FreshnessWorld, apartMs: number) {
        await this.exchanging.receive("ingress.attach", namedId, attachReport);
        await this.exchanging.receive("ingress.exchange", callingId, hostReport);
        await advance(this.clock, apartMs);
        const answer = await this.exchanging.receive("ingress.exchange", callingId, hostReport) as typeof hostReport;
        this.attached = answer.attached;
    },
);

Then("the second answer says that the other host was heard from {int} ms ago", function(this: FreshnessWorld, ageMs: number) {
    assert.deepEqual(this.attached, { [namedId]: ageMs });
});

When(
    "a peer's reply that names a host heard from just now takes {int} ms",
    async function(this: FreshnessWorld, delayMs: number) {
        await advance(this.clock, delayMs);
        this.exchanging.answer("ingress.exchange", calledId, { ...hostReport, attached: { [namedId]: 0 } });
        await settle();
    },
);

Then("the host says that the named host was heard from {int} ms ago", async function(this: FreshnessWorld, ageMs: number) {
    const attached = await this.exchanging.receive("ingress.attach", callingId, attachReport) as {
        serving: Record<string, number>;
    };
    const group = await this.exchanging.receive("ingress.group", callingId, {}) as { members: Record<string, number>; };
    assert.deepEqual([attached.serving[namedId], group.members[namedId]], [ageMs, ageMs]);
});

When("{int} ms pass without a reply of a peer", async function(this: FreshnessWorld, ms: number) {
    await advance(this.clock, ms);
});

When("the peer replies and {int} ms pass", async function(this: FreshnessWorld, ms: number) {
    this.exchanging.answer("ingress.exchange", calledId, hostReport);
    await settle();
    await advance(this.clock, ms);
});

When(
    "something urgent becomes known and the peer replies {int} ms later",
    async function(this: FreshnessWorld, ms: number) {
        this.exchanging.exchange.announce();
        await advance(this.clock, ms);
        this.exchanging.answer("ingress.exchange", calledId, hostReport);
        await settle();
    },
);

Then("the peer was sent {int} reports", function(this: FreshnessWorld, count: number) {
    assert.equal(this.exchanging.calls.filter(call => call === `ingress.exchange ${calledId}`).length, count);
});

Given("a host outside of the serving set", async function(this: FreshnessWorld) {
    this.clock = createVirtualClock();
    const others = Array.from({ length: 16 }, (_, index) => brandAs<HostId>(`host-${index}`));
    this.exchanging = new ExchangingHost(this.clock, [...others, ownId]);
    await this.exchanging.exchange.start();
});

When("the reply with the serving set takes {int} ms", async function(this: FreshnessWorld, delayMs: number) {
    const [contact] = this.exchanging.calledAt("ingress.attach");
    await advance(this.clock, delayMs);
    this.exchanging.answer("ingress.attach", contact!, {
        sentAtMs: 0,
        knowledge,
        serving: { [contact!]: 0 },
        setAgeMs: 0,
        servingWork: 0,
    });
    await settle();
});

Then("the host says that the set is {int} ms old", function(this: FreshnessWorld, ageMs: number) {
    const { serving } = this.exchanging.exchange;
    serving.refresh();
    assert.equal(serving.setAgeMs, ageMs);
});

After(async function(this: Partial<FreshnessWorld>) {
    await this.exchanging?.exchange.stop();
    this.mirrors?.forEach(mirror => void mirror.stop());
});
