import { Given, Then, When } from "@cucumber/cucumber";
import { createCloudClient, createHostListClient, createKeyValueClient } from "@filbertrelay/connectors";
import type { KeyValueIssue } from "@filbertrelay/connectors";
import { brandAs } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, Outcome } from "@filbertrelay/kernel";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { waitUntil } from "./process.js";
import { clock, standIn } from "./standins.js";
import type { StandInWorld } from "./standins.js";

Given(
    "a paused process on the host {string} of the failure domain {string}",
    async function(this: StandInWorld, hostId: string, failureDomain: string) {
        const child = spawn(process.execPath, ["-e", "setInterval(() => {}, 1000)"], { stdio: "ignore" });
        await new Promise(resolve => child.once("spawn", resolve));
        child.kill("SIGSTOP");
        this.standInHosts ??= new Map();
        this.standInHosts.set(hostId, child);
        const host = { hostId, role: "entry", failureDomain, pid: child.pid, address: "127.0.0.1:7700" };
        await standIn(this, "cloud").control("/hosts", host);
    },
);

function cloudClient(world: StandInWorld) {
    return createCloudClient({ url: standIn(world, "cloud").url, clock });
}

async function hostState(world: StandInWorld, hostId: string): Promise<string> {
    const host = await cloudClient(world).getHost(brandAs<HostId>(hostId));
    return host.ok ? host.value.state : host.issue.code;
}

function hasExited(world: StandInWorld, hostId: string): boolean {
    const host = world.standInHosts.get(hostId)!;
    return host.exitCode !== null || host.signalCode !== null;
}

When("the host {string} is terminated through the cloud client", async function(this: StandInWorld, hostId: string) {
    assert.equal((await cloudClient(this).terminateHost(brandAs<HostId>(hostId))).ok, true);
    assert.equal(await hostState(this, hostId), "terminated");
});

Then(
    "the process of {string} runs no more and the cloud shows the host as terminated",
    async function(this: StandInWorld, hostId: string) {
        await waitUntil("the exit of the process", () => hasExited(this, hostId));
        assert.equal(this.standInHosts.get(hostId)!.signalCode, "SIGKILL");
        assert.equal(await hostState(this, hostId), "terminated");
    },
);

When(
    "the failure domain {string} is reclaimed with {int} ms of notice",
    async function(this: StandInWorld, failureDomain: string, noticeMs: number) {
        await standIn(this, "cloud").control("/reclaim", { failureDomain, noticeMs });
    },
);

Then("notices come for {string} and these hosts are terminated", async function(this: StandInWorld, hostIds: string) {
    const notices = await cloudClient(this).waitForNotices(0, { timeoutMs: 10_000 });
    assert.ok(notices.ok);
    assert.deepEqual(notices.value.map(notice => notice.hostId).sort().join(","), hostIds);
    for (const hostId of hostIds.split(",")) {
        await waitUntil(
            `the termination of '${hostId}'`,
            async () => hasExited(this, hostId) && await hostState(this, hostId) === "terminated",
        );
    }
});

Then("the host {string} is still running", async function(this: StandInWorld, hostId: string) {
    assert.equal(await hostState(this, hostId), "running");
    assert.equal(hasExited(this, hostId), false);
});

Given(
    "the cloud refuses the next {int} starts in the failure domain {string}",
    async function(this: StandInWorld, count: number, failureDomain: string) {
        await standIn(this, "cloud").control("/refusals", { count, failureDomain });
    },
);

function startHost(world: StandInWorld, requestId: string, failureDomain: string) {
    const properties = {
        role: "engine" as const,
        hostClass: "standard",
        reclaimable: true,
        failureDomain: brandAs<FailureDomainId>(failureDomain),
    };
    return cloudClient(world).startHost({ requestId, ...properties });
}

Then(
    "starts in the failure domains {string} end with {string}",
    async function(this: StandInWorld, failureDomains: string, outcomes: string) {
        const results: string[] = [];
        for (const [index, failureDomain] of failureDomains.split(",").entries()) {
            const started = await startHost(this, `start-${index}`, failureDomain);
            results.push(started.ok ? "started" : started.issue.code);
        }
        assert.equal(results.join(","), outcomes);
    },
);

Then("starting twice with one request id gives one host", async function(this: StandInWorld) {
    const [first, second] = [await startHost(this, "same", "b"), await startHost(this, "same", "b")];
    assert.ok(first.ok && second.ok);
    assert.equal(first.value.hostId, second.value.hostId);
});

async function listedState(world: StandInWorld, hostId: string): Promise<string | undefined> {
    const hosts = await createHostListClient({ url: standIn(world, "list").url, clock }).list();
    return hosts.ok ? hosts.value.find(host => host.hostId === hostId)?.state : undefined;
}

Given("the host list shows {string} as {string}", async function(this: StandInWorld, hostId: string, state: string) {
    await waitUntil(`'${hostId}' to be ${state}`, async () => await listedState(this, hostId) === state);
});

When(
    "the host list is frozen and the failure domain {string} is reclaimed with {int} ms of notice",
    async function(this: StandInWorld, failureDomain: string, noticeMs: number) {
        await standIn(this, "list").control("/freeze", {});
        await standIn(this, "cloud").control("/reclaim", { failureDomain, noticeMs });
        assert.equal(await hostState(this, "entry-1"), "reclaiming");
    },
);

Then("the host list still shows {string} as {string}", async function(this: StandInWorld, hostId: string, state: string) {
    assert.equal(await listedState(this, hostId), state);
});

Then(
    "the host list shows {string} as {string} after it is thawed",
    async function(this: StandInWorld, hostId: string, state: string) {
        await standIn(this, "list").control("/thaw", {});
        await waitUntil(`'${hostId}' to be ${state}`, async () => await listedState(this, hostId) === state);
    },
);

function keyValueClient(world: StandInWorld, timeoutMs = 5_000) {
    return createKeyValueClient({ url: standIn(world, "store").url, clock, timeoutMs });
}

function codeOf(outcome: Outcome<unknown, KeyValueIssue>): string {
    return outcome.ok ? "ok" : outcome.issue.code;
}

When("the next {int} replies of {string} are lost", async function(this: StandInWorld, loseReplies: number, name: string) {
    await standIn(this, name).control("/faults", { loseReplies });
});

Then("a write of {string} ends with {string}", async function(this: StandInWorld, value: string, code: string) {
    assert.equal(
        codeOf(await keyValueClient(this).compareAndSwap("key", value, { expectedVersion: 0, purpose: "shards" })),
        code,
    );
});

Then("the stored value is {string}", async function(this: StandInWorld, value: string) {
    const stored = await keyValueClient(this).get("key", "shards");
    assert.equal(stored.ok ? stored.value?.value : stored.issue.code, value);
});

When("{string} has the outage {string}", async function(this: StandInWorld, name: string, outage: string) {
    await standIn(this, name).control("/faults", { outage, delayMs: 60_000 });
});

Then("reading, writing, watching and renewing end with {string}", async function(this: StandInWorld, code: string) {
    const client = keyValueClient(this, 300);
    const outcomes = await Promise.all([
        client.get("key", "shards"),
        client.list("key", "shards"),
        client.compareAndSwap("key", "value", { expectedVersion: 0, purpose: "shards" }),
        client.watch("key", { afterVersion: 0, timeoutMs: 100, purpose: "shards" }),
        client.grantLease(1_000, "planner"),
        client.renewLease("lease-1", "planner"),
    ]);
    assert.deepEqual(outcomes.map(codeOf), outcomes.map(() => code));
});

Then("after the outage a write succeeds", async function(this: StandInWorld) {
    await standIn(this, "store").control("/faults", { outage: "none" });
    assert.equal(
        codeOf(await keyValueClient(this).compareAndSwap("key-2", "value", { expectedVersion: 0, purpose: "shards" })),
        "ok",
    );
});

When("{int} reads and {int} writes are sent at once", async function(this: StandInWorld, reads: number, writeCount: number) {
    const client = keyValueClient(this);
    this.results = await Promise.all([
        ...[...Array(reads).keys()].map(index => client.get(`key-${index}`, "shards")),
        ...[...Array(writeCount).keys()].map(index =>
            client.compareAndSwap(`key-${index}`, "v", { expectedVersion: 0, purpose: "shards" })
        ),
    ]);
});

Then("some of them end with {string} and the counts agree with the others", async function(this: StandInWorld, code: string) {
    const { get, put, throttled } = await standIn(this, "store").control("/counts") as {
        get: number;
        put: number;
        throttled: number;
    };
    const refused = this.results.filter(result => result?.ok === false && result.issue.code === code).length;
    assert.ok(refused > 0, "Nothing was throttled.");
    assert.equal(refused, throttled);
    assert.equal(get + put, this.results.length - refused);
});

Then("a watch that waits is counted as one call", async function(this: StandInWorld) {
    await standIn(this, "store").control("/rates", { readsPerSecond: 1_000, writesPerSecond: 1_000 });
    const controller = new AbortController();
    const watch = keyValueClient(this).watch("none/", {
        afterVersion: 0,
        timeoutMs: 30_000,
        purpose: "configuration",
        signal: controller.signal,
    });
    await waitUntil("the watch", async () => (await standIn(this, "store").control("/counts"))["waitingWatches"] === 1);
    assert.equal((await standIn(this, "store").control("/counts"))["watch"], 1);
    controller.abort();
    assert.equal(codeOf(await watch), "keyValue.unavailable");
});
