import { After, Given, Then } from "@cucumber/cucumber";
import { createSystemClock } from "@filbertrelay/kernel";
import { createPlatformStore } from "@filbertrelay/platform";
import { StandinStore } from "@filbertrelay/platform/standins";
import assert from "node:assert/strict";

const clock = createSystemClock();

interface CopyWorld {
    copiedStore: StandinStore;
}

Given("a store that is changed between the pages of a listing", async function(this: CopyWorld) {
    this.copiedStore = new StandinStore();
    await this.copiedStore.start();
    ["a", "b", "c", "d", "e"].forEach(name => this.copiedStore.put(`op/${name}`, "old"));
    this.copiedStore.pageSize = 2;
    this.copiedStore.onPage = () => {
        this.copiedStore.onPage = () => undefined;
        this.copiedStore.remove("op/a");
        this.copiedStore.put("op/b", "new");
        this.copiedStore.remove("op/d");
        this.copiedStore.put("op/f", "new");
    };
});

Then("its listing holds the items of one revision", async function(this: CopyWorld) {
    const client = createPlatformStore({ address: this.copiedStore.address, clock, timeoutMs: 600, onCall: () => undefined });
    const listed = await client.list("");
    assert.ok(listed.ok);
    assert.deepEqual(
        listed.value.items.map(({ key, value }) => `${key} ${value}`).sort(),
        ["op/b new", "op/c old", "op/e old", "op/f new"],
    );
    const watched = await client.watch("", { afterRevision: listed.value.revision, waitMs: 1 });
    assert.deepEqual(watched.ok ? watched.value.changes : undefined, []);
});

After(function(this: Partial<CopyWorld>) {
    this.copiedStore?.stop();
});
