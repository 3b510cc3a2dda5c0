import { When } from "@cucumber/cucumber";
import { callControl, waitFor } from "@filbertrelay/client";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { customers, limitMs } from "./promises.fleet.js";
import type { PromiseFleet } from "./promises.fleet.js";
import { stepTimeout } from "./promises.js";
import type { PromiseWorld } from "./promises.js";

// Each of the three callers prefers a different failure domain and so uses a different entry host.
async function sendToThreeHosts(promises: PromiseFleet, sent: readonly { key: string; customer: string; }[]): Promise<void> {
    const domains = promises.fleet.configuration.failureDomains;
    await Promise.all(
        sent.flatMap(({ key, customer }) => domains.map(failureDomain => promises.book(key, { customer, failureDomain }))),
    );
}

function nextKeys(promises: PromiseFleet, count: number): { key: string; customer: string; }[] {
    const known = promises.sent.size;
    return Array.from({ length: count }, (...[, index]) => ({
        key: `key-${promises.seed}-${known + index}`,
        customer: customers[index % customers.length]!,
    }));
}

When("{int} keys are sent to three entry hosts concurrently", stepTimeout, async function(this: PromiseWorld, count: number) {
    await sendToThreeHosts(this.promises, nextKeys(this.promises, count));
});

When(
    "{int} keys start being sent to three entry hosts concurrently",
    stepTimeout,
    async function(this: PromiseWorld, count: number) {
        this.promises.pendingSends.push(sendToThreeHosts(this.promises, nextKeys(this.promises, count)));
        await delay(100);
    },
);

When("all keys are sent again", stepTimeout, async function(this: PromiseWorld) {
    const sent = [...this.promises.sent.values()].filter(({ key }) => key.startsWith("key-"));
    await sendToThreeHosts(this.promises, sent);
});

When(
    "the service {string} delays its responses by {int} ms",
    async function(this: PromiseWorld, service: string, delayMs: number) {
        await callControl(this.promises.fleet.urlOf(service), "/behaviour", { delayMs });
    },
);

When("the owner of most shards is paused until other hosts own its shards", stepTimeout, async function(this: PromiseWorld) {
    const { promises } = this;
    const owner = await promises.largestOwner();
    promises.chosen = owner;
    const before = (await promises.status(owner)).shards;
    promises.fleet.pause(owner);
    // An unreachable owner keeps a shard until a request needs the shard, so every key is sent again.
    promises.pendingSends.push(sendToThreeHosts(promises, [...promises.sent.values()]));
    await waitFor("other hosts to own the shards of the paused one", async () => {
        const others = promises.fleet.entryHosts().filter(({ hostId }) => hostId !== owner);
        const owned = (await Promise.all(others.map(({ hostId }) => promises.status(hostId)))).flatMap(status => status.shards);
        const isTakenOver = before.every(({ shard, epoch }) => owned.some(other => other.shard === shard && other.epoch > epoch));
        return isTakenOver ? true : undefined;
    }, { limitMs });
});

When("the paused host resumes", async function(this: PromiseWorld) {
    this.promises.fleet.resume(this.promises.chosen);
    // Gives the resumed process time to act as if it still owned the shards.
    await delay(1_000);
});

When(
    "the owner of most shards is reclaimed and killed after {int} ms",
    stepTimeout,
    async function(this: PromiseWorld, afterMs: number) {
        const owner = await this.promises.largestOwner();
        await this.promises.fleet.reclaim({ hostId: owner, noticeMs: 10_000 });
        await delay(afterMs);
        await this.promises.fleet.terminate(owner);
    },
);

When(
    "the owner of most shards is reclaimed with {int} ms of notice",
    stepTimeout,
    async function(this: PromiseWorld, noticeMs: number) {
        const owner = await this.promises.largestOwner();
        assert.deepEqual(await this.promises.fleet.reclaim({ hostId: owner, noticeMs }), [owner]);
        await this.promises.fleet.host(owner).process.exited;
    },
);

When("the key-value service goes down for all", async function(this: PromiseWorld) {
    await this.promises.fleet.setFaults("keyValue", { outage: "down" });
});

When("the key-value service recovers for all", async function(this: PromiseWorld) {
    await this.promises.fleet.setFaults("keyValue", { outage: "none" });
});

When("the key-value service loses the replies of its next {int} writes", async function(this: PromiseWorld, count: number) {
    await this.promises.fleet.setFaults("keyValue", { loseReplies: count, loseMethods: ["PUT"] });
});
