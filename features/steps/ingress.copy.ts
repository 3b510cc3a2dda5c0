import { After, Given, Then, When } from "@cucumber/cucumber";
import { StoreMirror, StoreSync } from "@filbertrelay/ingress";
import type { ServingHosts } from "@filbertrelay/ingress";
import { brandAs, createSystemClock, silentEventLog } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import { createPlatformStore } from "@filbertrelay/platform";
import { StandinStore } from "@filbertrelay/platform/standins";
import * as policy from "@filbertrelay/policy";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { openForwarder } from "../support/forwarder.js";
import type { Forwarder } from "../support/forwarder.js";
import { findPort, waitFor } from "../support/ingress.js";
import { createTestPeers } from "../support/peernetwork.js";

const clock = createSystemClock();
const removedKey = "op/removed";
const longKey = "op/long";

interface CopyWorld {
    store: StandinStore;
    /** Between the first host and the store. */
    storeLink: Forwarder | undefined;
    peerLink: Forwarder | undefined;
    reporting: NodeJS.Timeout | undefined;
    disputed: readonly policy.DisputedItem[];
    hosts: CopyHost[];
    ageMs: number;
}

/** The parts of a host that copy the store; `watcher` names the only host that watches it. */
class CopyHost {
    readonly mirror: StoreMirror;
    readonly sync: StoreSync;
    readonly peers: TcpPeerNetwork;

    constructor(
        readonly hostId: HostId,
        options: {
            readonly storeAddress: string;
            readonly address: string;
            readonly watcher: HostId;
            readonly applyMs: number;
            readonly others: readonly { readonly hostId: HostId; readonly address: string; }[];
        },
    ) {
        const { storeAddress, address, watcher, applyMs, others } = options;
        const client = createPlatformStore({ address: storeAddress, clock, timeoutMs: 600, onCall: () => undefined });
        this.mirror = new StoreMirror({ store: client, clock, log: silentEventLog, draw: Math.random, applyMs });
        this.peers = createTestPeers(clock, hostId, address);
        others.forEach(other => this.peers.setAddress(other.hostId, other.address));
        const watching = { hostId: watcher, failureDomain: brandAs<FailureDomainId>("domain-1") };
        this.sync = new StoreSync({
            clock,
            hostId,
            peers: this.peers,
            mirror: this.mirror,
            listReachable: () => others.map(other => other.hostId),
            serving: { isFullFleet: false, serving: [watching] } as unknown as ServingHosts,
            applyMs,
        });
    }

    async start(): Promise<void> {
        await this.peers.start();
        await this.sync.start();
        await this.mirror.start();
        await waitFor(() => Promise.resolve(this.mirror.revision > 0));
    }

    async stop(): Promise<void> {
        await this.mirror.stop();
        await this.peers.stop(clock.monotonicMs());
    }
}

const firstId = brandAs<HostId>("host-1");
const secondId = brandAs<HostId>("host-2");
/** Long enough that the first host doesn't watch the store itself within a scenario. */
const patientApplyMs = 60_000;
/** The first host's own watch follows after three quarters of this time without news. */
const applyMs = 1_000;

async function createHosts(world: CopyWorld, firstApplyMs: number): Promise<CopyHost[]> {
    world.storeLink ??= await openForwarder(world.store.address);
    const [first, second] = await Promise.all([findPort(), findPort()]);
    const addresses = [
        { hostId: firstId, address: `127.0.0.1:${first}` },
        { hostId: secondId, address: `127.0.0.1:${second}` },
    ];
    return addresses.map(({ hostId, address }, index) =>
        new CopyHost(hostId, {
            storeAddress: index === 0 ? world.storeLink!.address : world.store.address,
            address,
            watcher: secondId,
            applyMs: index === 0 ? firstApplyMs : applyMs,
            others: addresses.filter(other => other.hostId !== hostId),
        })
    );
}

Given("a host that has read the store and leaves the watch to others", async function(this: CopyWorld) {
    this.store = new StandinStore();
    await this.store.start();
    this.store.put(removedKey, "present");
    this.store.put("op/other", "present");
    this.hosts = await createHosts(this, patientApplyMs);
    await this.hosts[0]!.start();
    assert.ok(this.hosts[0]!.mirror.get(removedKey) !== undefined);
});

Given("a host that watches the store for it", async function(this: CopyWorld) {
    await this.hosts[1]!.start();
});

Given(
    "a host that watches the store for it, which it reaches at {int} bytes a ms",
    async function(this: CopyWorld, bytesPerMs: number) {
        const [first, second] = this.hosts;
        await second!.start();
        this.peerLink = await openForwarder(second!.peers.address);
        this.peerLink.bytesPerMs = bytesPerMs;
        first!.peers.setAddress(secondId, this.peerLink.address);
    },
);

When("the first host can't reach the store any longer", function(this: CopyWorld) {
    this.storeLink!.server.close();
    this.storeLink!.sockets.forEach(socket => socket.destroy());
});

When("the first host can't reach the store for {int} ms while it reads it", async function(this: CopyWorld, cutMs: number) {
    const { server, sockets } = this.storeLink!;
    const refuse = (socket: Socket): void => void socket.destroy();
    server.prependListener("connection", refuse);
    sockets.forEach(socket => socket.destroy());
    this.hosts[0]!.mirror.readSoon();
    await clock.sleep(cutMs);
    server.off("connection", refuse);
});

When(
    "{int} ms later an item of {int} characters is written and the watching host reports it again and again",
    { timeout: 30_000 },
    async function(this: CopyWorld, delayMs: number, characters: number) {
        await clock.sleep(delayMs);
        await writeLongItem(this, characters);
        this.reporting = setInterval(() => reportToFirst(this), 100);
    },
);

When(
    "the watching host disputes an item of {int} characters and reports it again and again",
    function(this: CopyWorld, characters: number) {
        const [first, second] = this.hosts;
        this.disputed = [];
        second!.mirror.disputes = () => [{ key: longKey, value: "x".repeat(characters), version: [1] }];
        second!.mirror.disputeDigest = () => "long";
        first!.mirror.mergeDisputes = items => void (this.disputed = items);
        this.reporting = setInterval(() => reportToFirst(this), 100);
    },
);

Then(
    "the first host knows of the dispute within {int} ms",
    { timeout: 30_000 },
    async function(this: CopyWorld, limitMs: number) {
        const startMs = clock.monotonicMs();
        while (this.disputed.length === 0 && clock.monotonicMs() - startMs <= limitMs) {
            await clock.sleep(10);
        }
        assert.equal(this.disputed.length, 1, `Not known after ${limitMs} ms.`);
    },
);

async function writeLongItem({ store, hosts }: CopyWorld, characters: number): Promise<void> {
    store.put(longKey, "x".repeat(characters));
    await waitFor(() => Promise.resolve(hosts[1]!.mirror.get(longKey) !== undefined));
}

function reportToFirst({ hosts: [first, second] }: CopyWorld): void {
    first!.sync.reconcile(secondId, second!.sync.status(), clock.monotonicMs());
}

When(
    "an item of {int} characters is written and the watching host reports it",
    async function(this: CopyWorld, characters: number) {
        await writeLongItem(this, characters);
        reportToFirst(this);
    },
);

When(
    "an item of {int} characters is written and the watching host reports it again and again",
    async function(this: CopyWorld, characters: number) {
        await writeLongItem(this, characters);
        this.reporting = setInterval(() => reportToFirst(this), 100);
    },
);

Then("the first host has the item within {int} ms", { timeout: 30_000 }, async function(this: CopyWorld, limitMs: number) {
    const startMs = clock.monotonicMs();
    await waitFor(() =>
        Promise.resolve(this.hosts[0]!.mirror.get(longKey) !== undefined || clock.monotonicMs() - startMs > limitMs)
    );
    assert.ok(this.hosts[0]!.mirror.get(longKey) !== undefined, `The item is not there after ${limitMs} ms.`);
});

Then("the watching host has sent it at most {int} bytes", function(this: CopyWorld, limitBytes: number) {
    const sent = this.hosts[1]!.peers.traffic().reduce((sum, { bytesSent }) => sum + bytesSent, 0);
    assert.ok(sent <= limitBytes, `${sent} bytes`);
});

When("an item is removed and another host starts", async function(this: CopyWorld) {
    this.store.remove(removedKey);
    await this.hosts[1]!.start();
});

When("an item is removed and another host starts and reports to it", async function(this: CopyWorld) {
    await this.hosts[0]!.stop();
    this.hosts = await createHosts(this, applyMs);
    const [first, second] = this.hosts;
    await first!.start();
    this.store.remove(removedKey);
    await second!.start();
    first!.sync.reconcile(secondId, second!.sync.status(), clock.monotonicMs());
});

When("an item is removed together with the history while watches deliver nothing", async function(this: CopyWorld) {
    this.store.isHoldingWatches = true;
    this.store.remove(removedKey);
    this.store.dropHistory();
    this.store.isHoldingWatches = false;
});

When("a report of unknown age says that its revision is the latest", async function(this: CopyWorld) {
    const [host] = this.hosts;
    await clock.sleep(200);
    this.ageMs = host!.mirror.ageMs();
    host!.sync.reconcile(secondId, { ...host!.sync.status(), storeAgeMs: 0 }, undefined);
});

Then("its copy is as old as before", function(this: CopyWorld) {
    assert.ok(this.hosts[0]!.mirror.ageMs() >= this.ageMs, `${this.hosts[0]!.mirror.ageMs()} of ${this.ageMs} ms`);
});

Then("the item is gone from the first host within {int} ms", async function(this: CopyWorld, limitMs: number) {
    const startMs = clock.monotonicMs();
    const { mirror } = this.hosts[0]!;
    while (mirror.get(removedKey) !== undefined && clock.monotonicMs() - startMs <= limitMs) {
        await clock.sleep(10);
    }
    assert.equal(
        mirror.get(removedKey),
        undefined,
        `The item is still there after ${limitMs} ms, at revision ${mirror.revision}.`,
    );
});

Then("its changes since the revision of the first host say that the item is gone", function(this: CopyWorld) {
    const [first, second] = this.hosts;
    const copy = new policy.StoreCopy({ onChange: () => "material", historyLimit: 10 });
    copy.applyListed({ era: 0, revision: first!.mirror.revision, items: [first!.mirror.get(removedKey)!] });
    const update = second!.mirror.updateSince(first!.mirror.position);
    assert.equal(copy.applyUpdate(update), "applied");
    assert.equal(copy.get(removedKey), undefined);
});

Given("a store that is changed between the pages of a listing", async function(this: CopyWorld) {
    this.store = new StandinStore();
    await this.store.start();
    this.hosts = [];
    ["a", "b", "c", "d", "e"].forEach(name => this.store.put(`op/${name}`, "old"));
    this.store.pageSize = 2;
    this.store.onPage = () => {
        this.store.onPage = () => undefined;
        this.store.remove("op/a");
        this.store.put("op/b", "new");
        this.store.remove("op/d");
        this.store.put("op/f", "new");
    };
});

Then("its listing holds the items of one revision", async function(this: CopyWorld) {
    const client = createPlatformStore({ address: this.store.address, clock, timeoutMs: 600, onCall: () => undefined });
    const listed = await client.list("");
    assert.ok(listed.ok);
    assert.deepEqual(
        listed.value.items.map(({ key, value }) => `${key} ${value}`).sort(),
        ["op/b new", "op/c old", "op/e old", "op/f new"],
    );
    const watched = await client.watch("", { after: listed.value, waitMs: 1 });
    assert.deepEqual(watched.ok ? watched.value.changes : undefined, []);
});

After(async function(this: Partial<CopyWorld>) {
    clearInterval(this.reporting);
    if (this.hosts?.[0] instanceof CopyHost) {
        await Promise.all(this.hosts.map(host => host.stop()));
    }
    for (const link of [this.storeLink, this.peerLink]) {
        link?.server.close();
        link?.sockets.forEach(socket => socket.destroy());
    }
    if (this.hosts !== undefined) {
        this.store?.stop();
    }
});
