import { After, Given, Then, When } from "@cucumber/cucumber";
import { configurationHeadKey, digestOf } from "@filbertrelay/configuration";
import type { ConfigurationHead } from "@filbertrelay/configuration";
import type { HostListClient, KeyValueClient, KeyValueIssue, StoredValue } from "@filbertrelay/connectors";
import { brandAs, createKernel, createSystemClock, failure, silentEventLog, success } from "@filbertrelay/kernel";
import type { HostId, Kernel, Service } from "@filbertrelay/kernel";
import {
    applyDelta,
    configurationValueName,
    createConfigurationService,
    createDelta,
    createMembershipService,
} from "@filbertrelay/relay";
import type { ConfigurationService, GossipMembership } from "@filbertrelay/relay";
import { createPeerNetwork } from "@filbertrelay/wire";
import fc from "fast-check";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";

const clock = createSystemClock();
const key = "correct-horse-battery";
const waitMs = 40_000;
const seed = 20_261_204;

interface ConfiguredHost {
    readonly kernel: Kernel;
    readonly configuration: ConfigurationService;
    readonly membership: GossipMembership;
    readonly versions: number[];
}

interface ConfigurationWorld {
    store: MemoryStore;
    configured: ConfiguredHost[];
    isolated: ConfiguredHost;
    seedAddress: string | undefined;
}

// Holds only the configuration head; every call fails while `isDown` is set.
class MemoryStore {
    isDown = false;
    readonly watchers = new Set<string>();
    #stored: StoredValue = { key: configurationHeadKey, value: "", version: 0 };

    write(value: string): void {
        this.#stored = { key: configurationHeadKey, value, version: this.#stored.version + 1 };
    }

    clientOf(name: string): KeyValueClient {
        const unavailable = failure<KeyValueIssue>({
            code: "keyValue.unavailable",
            message: "The test made the service unavailable.",
        });
        const fail = () => Promise.resolve(unavailable);
        return {
            get: () => Promise.resolve(this.isDown ? unavailable : success(this.#stored)),
            list: fail,
            compareAndSwap: fail,
            grantLease: fail,
            renewLease: fail,
            watch: async (prefix, { afterVersion, timeoutMs, signal }) => {
                assert.equal(prefix, configurationHeadKey);
                this.watchers.add(name);
                const endMs = clock.monotonicMs() + timeoutMs;
                while (
                    !this.isDown && signal?.aborted !== true && this.#stored.version <= afterVersion &&
                    clock.monotonicMs() < endMs
                ) {
                    await delay(10);
                }
                return this.isDown ? unavailable : success(this.#stored.version > afterVersion ? [this.#stored] : []);
            },
        };
    }
}

After(async function(this: ConfigurationWorld) {
    const hosts = [...this.configured ?? [], ...this.isolated === undefined ? [] : [this.isolated]];
    await Promise.all(hosts.map(({ kernel }) => kernel.stop(clock.monotonicMs() + 1_000)));
});

function createHead(version: number): ConfigurationHead {
    const hash = "a".repeat(64);
    const configuration: ConfigurationHead["configuration"] = {
        deployment: "chaulage",
        failureDomains: ["st-jerome"],
        hostClasses: [],
        models: [],
        services: [],
        customers: [{ name: "crew", keyHashes: [hash], weight: version, callerKind: "truck", concurrencyLimit: 1 }],
        callerKinds: [{ name: "truck", priority: 0, deadlineMs: 1_000 }],
        operatorKeyHashes: [hash],
        weights: { latency: 1, cost: 1 },
        latencyTarget: { firstTokenMs: 1_000, betweenTokensMs: 100 },
        shards: { generation: 1, count: 16, batchIntervalMs: 400, resultRetentionMs: 1_000, keyRetentionMs: 1_000 },
        keyValueBudget: { readsPerSecond: 200, writesPerSecond: 50 },
        retryBudgetRatio: 0.1,
        entryPointKeepMs: 2_000,
    };
    const submittedAt = new Date(0).toISOString();
    return {
        version,
        submissionId: `submission-${version}`,
        digest: digestOf(configuration),
        submittedAt,
        answers: {},
        configuration,
    };
}

async function startHost(world: ConfigurationWorld, name: string, seeds: readonly string[]): Promise<ConfiguredHost> {
    const kernel = createKernel({ clock, log: silentEventLog });
    const hostId = brandAs<HostId>(name);
    const listenAddress = "127.0.0.1:0";
    const network = createPeerNetwork({ clock, log: silentEventLog, hostId, listenAddress, keys: [key], frameBytes: 1_000_000 });
    const hostList: HostListClient = { list: () => Promise.resolve(success([])) };
    kernel.register("peers", network);
    kernel.register("hostList", hostList as HostListClient & Service);
    kernel.register("keyValue", world.store.clientOf(name) as KeyValueClient & Service);
    const membership = createMembershipService(kernel, {
        host: { id: name, failureDomain: "st-jerome", peerAddress: listenAddress, callerAddress: "127.0.0.1:8080" },
        cluster: { keys: [key], seeds: [...seeds] },
        timing: { probePeriodMs: 200, stallTimeoutMs: 1_000, drainLimitMs: 1_000 },
    });
    kernel.register("membership", membership);
    const configuration = createConfigurationService(kernel);
    kernel.register("configuration", configuration);
    const versions: number[] = [];
    configuration.onChange(({ version }) => versions.push(version));
    await kernel.start();
    world.seedAddress ??= network.address;
    return { kernel, configuration, membership, versions };
}

async function startMember(world: ConfigurationWorld): Promise<void> {
    const seeds = world.seedAddress === undefined ? [] : [world.seedAddress];
    world.configured.push(await startHost(world, `host-${world.configured.length + 1}`, seeds));
}

async function waitUntil(condition: () => boolean): Promise<void> {
    const endMs = clock.monotonicMs() + waitMs;
    while (!condition()) {
        assert.ok(clock.monotonicMs() < endMs, "The condition was not met in time.");
        await delay(10);
    }
}

Given(
    "{int} hosts in one failure domain and a key-value service that holds version {int}",
    async function(this: ConfigurationWorld, count: number, version: number) {
        this.store = new MemoryStore();
        this.store.write(JSON.stringify(createHead(version)));
        this.configured = [];
        for (let started = 0; started < count; started++) {
            await startMember(this);
        }
        const seesAllHosts = ({ membership }: ConfiguredHost) =>
            membership.members().filter(({ state }) => state === "alive").length === count;
        await waitUntil(() => this.configured.every(seesAllHosts));
        // Each host watches the store until it has found its peers; only watches from here on count.
        this.store.watchers.clear();
    },
);

Then(
    "every host has version {int} in effect and is ready",
    { timeout: 2 * waitMs },
    async function(this: ConfigurationWorld, version: number) {
        const hosts = [...this.configured, ...this.isolated === undefined ? [] : [this.isolated]];
        await waitUntil(() =>
            hosts.every(({ configuration }) => configuration.isReady() && configuration.head()?.version === version)
        );
        hosts.forEach(({ configuration }) => assert.equal(configuration.current().customers[0]?.weight, version));
    },
);

When("version {int} is submitted", function(this: ConfigurationWorld, version: number) {
    this.store.write(JSON.stringify(createHead(version)));
});

Then("at most {int} hosts watch the key-value service", function(this: ConfigurationWorld, count: number) {
    assert.ok(this.store.watchers.size <= count, `Watchers: ${[...this.store.watchers].join(", ")}.`);
});

Then(
    "every host reads from its peers that version {int} is in effect on all hosts",
    async function(this: ConfigurationWorld, version: number) {
        const seesAllVersions = ({ membership }: ConfiguredHost) =>
            membership.published(configurationValueName).filter(({ value }) => value === version).length ===
                this.configured.length;
        await waitUntil(() => this.configured.every(seesAllVersions));
    },
);

When(
    "a malformed head, a head with a wrong digest and version {int} are written",
    async function(this: ConfigurationWorld, oldVersion: number) {
        const wrongDigest = { ...createHead(9), digest: "b".repeat(64) };
        for (const text of ["{", JSON.stringify(wrongDigest), JSON.stringify(createHead(oldVersion))]) {
            this.store.write(text);
            await delay(50);
        }
    },
);

Then("no host ever went back to an older version", function(this: ConfigurationWorld) {
    for (const { versions } of this.configured) {
        assert.deepEqual(versions, [...versions].sort((left, right) => left - right));
        assert.equal(versions.at(-1), 3);
        assert.equal(versions.includes(9), false);
    }
});

When(/^the store of the configuration (goes down|comes back)$/, function(this: ConfigurationWorld, change: string) {
    this.store.isDown = change === "goes down";
});

When("one more host starts", { timeout: waitMs }, async function(this: ConfigurationWorld) {
    await startMember(this);
});

When("a host without peers starts", { timeout: waitMs }, async function(this: ConfigurationWorld) {
    this.isolated = await startHost(this, "isolated", []);
});

Then("that host is not ready", function(this: ConfigurationWorld) {
    assert.equal(this.isolated.configuration.isReady(), false);
    assert.throws(() => this.isolated.configuration.current());
});

const textArbitrary = fc.array(fc.constantFrom("chalk ", "the cistern at the farm above the mill, ", "x"), { maxLength: 40 })
    .map(parts => parts.join(""));

Then("the delta of any two texts rebuilds the second", function() {
    fc.assert(
        fc.property(textArbitrary, textArbitrary, (oldText, newText) => {
            assert.equal(applyDelta(oldText, createDelta(oldText, newText)), newText);
        }),
        { seed, numRuns: 1_000 },
    );
});

Then("the delta of a long text with one change is shorter than {int} characters", function(limit: number) {
    const oldText = Array.from({ length: 2_000 }, (...[, index]) => `customer ${index} has the weight ${index % 7}`).join("\n");
    const delta = createDelta(oldText, oldText.replace("customer 900 has the weight", "customer 900 now has the weight"));
    assert.ok(JSON.stringify(delta).length < limit, `The delta takes ${JSON.stringify(delta).length} characters.`);
});
