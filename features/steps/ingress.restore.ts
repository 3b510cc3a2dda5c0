import { Given, Then, When } from "@cucumber/cucumber";
import { createSystemClock } from "@filbertrelay/kernel";
import { createPlatformStore } from "@filbertrelay/platform";
import { StandinStore } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";
import { createConfiguration, waitFor } from "../support/ingress.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface RestoreWorld extends IngressWorld {
    store: StandinStore;
    restoredMs: number;
    callsBefore: number;
    client: ReturnType<typeof createPlatformStore>;
}

const clock = createSystemClock();

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

When("the store loses {int} changes in a restore and a route is added", async function(this: RestoreWorld, lost: number) {
    const { store } = this.ingress;
    const backup = store.backUp();
    for (let change = 0; change < lost; change += 1) {
        store.put("filbertrelay/lost", String(change));
    }
    await pause(300);
    store.restore(backup);
    this.callsBefore = store.calls.length;
    this.restoredMs = performance.now();
    await pause(300);
    store.put("op/config", createConfiguration(9, ["added"]));
});

Then("the added route is served within {int} ms", async function(this: RestoreWorld, limitMs: number) {
    await waitFor(async () => (await this.ingress.send("idempotent", { path: "/added/item" })).status === 200);
    assert.ok(performance.now() - this.restoredMs <= limitMs);
});

Then(
    "the host makes at most {int} calls to the store within {int} ms",
    async function(this: RestoreWorld, most: number, ms: number) {
        await pause(ms);
        const calls = this.ingress.store.calls.slice(this.callsBefore);
        assert.ok(calls.length <= most, `${calls.length} calls: ${calls.slice(0, 20).join()}`);
    },
);

When(
    "the store is restored from a copy that was made before the host registered and its lease id is given to another host",
    async function(this: RestoreWorld) {
        const { store } = this.ingress;
        const backup = store.backUp();
        store.restore({
            ...backup,
            leases: [],
            nextLease: 1,
            entries: backup.entries.filter(({ key }) => !key.startsWith("filbertrelay/hosts/")),
        });
        this.restoredMs = performance.now();
        for (let lease = 0; lease < backup.nextLease; lease += 1) {
            await fetch(`http://${store.address}/kv-lease`, { method: "POST", body: JSON.stringify({ ttlMs: 60_000 }) });
        }
    },
);

Then("the host's entry is back under a lease of its own within {int} ms", async function(this: RestoreWorld, limitMs: number) {
    const { store } = this.ingress;
    await waitFor(() => Promise.resolve(store.keys("filbertrelay/hosts/").length === 1));
    assert.ok(performance.now() - this.restoredMs <= limitMs);
    // Without renewals under a lease of its own, the entry would expire within this time.
    await pause(4_000);
    assert.equal(store.keys("filbertrelay/hosts/").length, 1);
});

Given("a store that is restored between two calls of a client", async function(this: RestoreWorld) {
    this.store = new StandinStore();
    this.store.era = 1;
    await this.store.start();
    this.store.put("op/item", "first");
    this.client = createPlatformStore({ address: this.store.address, clock, timeoutMs: 600, onCall: () => undefined });
    assert.ok((await this.client.list("")).ok);
    this.store.restore(this.store.backUp());
    assert.ok((await this.client.get("op/item")).ok);
    assert.equal(this.client.era, 2);
});

Then("a commit that relies on the earlier era fails without a call", async function(this: RestoreWorld) {
    const calls = this.store.calls.length;
    const committed = await this.client.commit({ era: 1, expected: [], writes: [{ key: "filbertrelay/test", value: "x" }] });
    assert.equal(committed.ok ? undefined : committed.issue.code, "store.conflict");
    assert.equal(this.store.calls.length, calls);
});

Then("a lease of the earlier era counts as ended without a call", async function(this: RestoreWorld) {
    const calls = this.store.calls.length;
    const renewed = await this.client.renewLease({ leaseId: 1, era: 1 });
    assert.equal(renewed.ok ? undefined : renewed.issue.code, "store.leaseGone");
    assert.ok((await this.client.endLease({ leaseId: 1, era: 1 })).ok);
    assert.equal(this.store.calls.length, calls);
});

Then("a response of the earlier era counts as no response", async function(this: RestoreWorld) {
    this.store.era = 1;
    const read = await this.client.get("op/item");
    assert.equal(read.ok ? undefined : read.issue.code, "store.unavailable");
    this.store.stop();
});
