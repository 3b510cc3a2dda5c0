import { After, Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { CustomerId, Outcome, RequestId } from "@filbertrelay/kernel";
import type { ShardService, SubmissionIssue } from "@filbertrelay/relay";
import assert from "node:assert/strict";
import { EntryFleet } from "./shards.fleet.js";
import type { EntryHost } from "./shards.fleet.js";

type Answer = Awaited<ReturnType<ShardService["submit"]>>;

interface ShardWorld {
    fleet?: EntryFleet;
    answers: Answer[];
}

After(async function(this: ShardWorld) {
    for (const host of this.fleet?.hosts ?? []) {
        await host.shards.stop?.(0);
    }
});

async function submit(world: ShardWorld, host: EntryHost, key: string, options = {}): Promise<void> {
    world.answers.push(await host.shards.submit(world.fleet!.submission(key, options)));
}

async function waitFor(condition: () => boolean): Promise<void> {
    for (let attempt = 0; attempt < 500 && !condition(); attempt++) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.ok(condition(), "The condition was not met within 5 s.");
}

function describe(answer: Outcome<unknown, SubmissionIssue>): string {
    return answer.ok ? "ok" : `${answer.issue.code}/${answer.issue.executed}`;
}

Given("an entry fleet of {int} hosts in {int} failure domains", async function(this: ShardWorld, size: number, domains: number) {
    assert.equal(size, domains);
    this.fleet = new EntryFleet(size);
    this.answers = [];
    await this.fleet.start();
});

Given("an entry fleet of 3 hosts that keeps results for {int} ms", async function(this: ShardWorld, resultRetentionMs: number) {
    this.fleet = new EntryFleet(3, { resultRetentionMs });
    this.answers = [];
    await this.fleet.start();
});

Given("an entry fleet of 3 hosts whose endpoint answers status queries", async function(this: ShardWorld) {
    this.fleet = new EntryFleet(3, { answersStatus: true });
    this.answers = [];
    await this.fleet.start();
});

When("the result of the key has been sealed", async function(this: ShardWorld) {
    await waitFor(() => [...this.fleet!.keyValue.values.keys()].some(key => key.startsWith("segments/")));
    await waitFor(() => this.fleet!.owner()!.shards.entries().length === 0);
});

When("the owner is terminated", function(this: ShardWorld) {
    this.fleet!.kill(this.fleet!.owner()!);
});

Given("the key-value service loses the replies of the next {int} writes", function(this: ShardWorld, count: number) {
    this.fleet!.keyValue.lostReplies = count;
});

Given("the endpoint runs requests without responding", function(this: ShardWorld) {
    this.fleet!.isResponding = false;
});

When("the key {string} is submitted at hosts 0, 1 and 2 concurrently", async function(this: ShardWorld, key: string) {
    await Promise.all(this.fleet!.hosts.slice(0, 3).map(host => submit(this, host, key)));
});

When("the key {string} is submitted at host {int}", async function(this: ShardWorld, key: string, index: number) {
    await submit(this, this.fleet!.hosts[index]!, key);
});

When(
    "the key {string} is submitted at host {int} with a different body",
    async function(this: ShardWorld, key: string, index: number) {
        await submit(this, this.fleet!.hosts[index]!, key, { body: "another order" });
    },
);

When(
    "the key {string} is submitted at host {int} by another customer",
    async function(this: ShardWorld, key: string, index: number) {
        await submit(this, this.fleet!.hosts[index]!, key, { customer: "c2" });
    },
);

When(
    "the key {string} is submitted at host {int} and its owner is terminated",
    async function(this: ShardWorld, key: string, index: number) {
        const caller = this.fleet!.hosts[index]!.shards.submit(this.fleet!.submission(key, { remainingMs: 300 }));
        await waitFor(() => this.fleet!.runs.get(key) === 1);
        this.fleet!.kill(this.fleet!.owner()!);
        this.answers.push(await caller);
    },
);

When("the key {string} is submitted at a surviving host", async function(this: ShardWorld, key: string) {
    await submit(this, this.fleet!.survivor(), key);
});

When("the key-value service goes down", function(this: ShardWorld) {
    this.fleet!.keyValue.isDown = true;
});

When("another key of the same shard is submitted at host {int}", async function(this: ShardWorld, index: number) {
    await submit(this, this.fleet!.hosts[index]!, "other");
});

When("another key of the same shard is submitted at the owner", async function(this: ShardWorld) {
    await submit(this, this.fleet!.owner()!, "other", { remainingMs: 300 });
});

When("another key of the same shard is submitted at a surviving host", async function(this: ShardWorld) {
    await submit(this, this.fleet!.survivor(), "other");
});

When("the owner is cut off from all peers", function(this: ShardWorld) {
    this.fleet!.owner()!.isCutOff = true;
});

When("the owner leaves", async function(this: ShardWorld) {
    const host = this.fleet!.owner()!;
    this.fleet!.setState(host, "leaving");
    await host.shards.release(host.kernel.clock.monotonicMs() + 5_000);
    assert.equal(host.shards.owned().length, 0, "The leaving host still owns a shard.");
    await waitFor(() => this.fleet!.owner() !== undefined);
});

Then("all callers got the same response", function(this: ShardWorld) {
    const texts = this.answers.map(answer => answer.ok ? new TextDecoder().decode(answer.value.response.body) : describe(answer));
    assert.equal(this.answers.filter(answer => answer.ok).length, this.answers.length, texts.join(", "));
    assert.equal(new Set(texts).size, 1);
});

Then(/^the endpoint ran the key "(.*)" (\d+) times?$/, function(this: ShardWorld, key: string, count: string) {
    assert.equal(this.fleet!.runs.get(key) ?? 0, Number(count));
});

Then("the endpoint ran the other key {int} times", function(this: ShardWorld, count: number) {
    assert.equal(this.fleet!.runs.get("other") ?? 0, count);
});

Then("the responses were {string}", function(this: ShardWorld, expected: string) {
    assert.equal(this.answers.map(describe).join(", "), expected);
});

Then("the last response was {string}", function(this: ShardWorld, expected: string) {
    assert.equal(describe(this.answers.at(-1)!), expected);
});

Then(
    "its response can be read at host {int} by its customer and by nobody else",
    async function(this: ShardWorld, index: number) {
        const answer = this.answers[0]!;
        const requestId = answer.ok ? answer.value.requestId : brandAs<RequestId>("");
        const host = this.fleet!.hosts[index]!;
        const own = await host.shards.read(requestId, brandAs<CustomerId>("c1"));
        const foreign = await host.shards.read(requestId, brandAs<CustomerId>("c2"));
        assert.equal(own.ok ? new TextDecoder().decode(own.value.body) : "", "k1 run 1");
        assert.equal(describe(foreign), "shard.unknown/unknown");
    },
);
