import { After, Given, Then, When } from "@cucumber/cucumber";
import { callControl, readHead, startStandIn, submit, waitFor } from "@filbertrelay/client";
import type { SubmissionIssue } from "@filbertrelay/client";
import { buildHead, configurationHeadKey } from "@filbertrelay/configuration";
import type { Answers, ConfigurationHead } from "@filbertrelay/configuration";
import { createKeyValueClient } from "@filbertrelay/connectors";
import type { KeyValueClient } from "@filbertrelay/connectors";
import { createKernel, createSystemClock, silentEventLog, success } from "@filbertrelay/kernel";
import type { Outcome } from "@filbertrelay/kernel";
import { createConfigurationService } from "@filbertrelay/relay";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { mkdtempSync, rmSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { HeadHistory } from "../../packages/relay/src/configuration/history.js";
import { limitMs, PromiseFleet, readAnswers } from "./promises.fleet.js";
import { stepTimeout } from "./promises.js";
import type { PromiseWorld } from "./promises.js";

interface ConfigurationWorld extends PromiseWorld {
    firstHead: string;
    submissions: Outcome<ConfigurationHead, SubmissionIssue>[];
    monitor: VersionMonitor;
}

const clock = createSystemClock();
const pollPeriodMs = 20;

/** Polls every host; a ready host must never have a version below the highest one that all hosts have reached. */
class VersionMonitor {
    readonly violations: string[] = [];
    readonly #promises: PromiseFleet;
    readonly #running: Promise<void>;
    #isStopped = false;
    /** Highest version that all hosts have reached. */
    minimumVersion = 1;

    constructor(promises: PromiseFleet) {
        this.#promises = promises;
        this.#running = this.#run();
    }

    async stop(): Promise<void> {
        this.#isStopped = true;
        await this.#running;
    }

    async #run(): Promise<void> {
        while (!this.#isStopped) {
            const { minimumVersion } = this;
            await Promise.all(
                this.#promises.fleet.entryHosts().map(({ hostId }) => this.#check(hostId, minimumVersion).catch(() => undefined)),
            );
            await delay(pollPeriodMs);
        }
    }

    async #check(hostId: string, minimumVersion: number): Promise<void> {
        const ready = await this.#promises.get(hostId, "/readyz", "");
        const { configuration } = await this.#promises.status(hostId);
        if (ready.statusCode === 200 && (configuration?.version ?? 0) < minimumVersion) {
            this.violations.push(
                `'${hostId}' was ready with version ${configuration?.version} after all hosts had reached version ${minimumVersion}.`,
            );
        }
    }
}

Given(
    "a fleet with seed {int} whose hosts of {string} reach the key-value service through a fault proxy",
    stepTimeout,
    async function(this: ConfigurationWorld, seed: number, failureDomain: string) {
        const directory = mkdtempSync(join(tmpdir(), "filbertrelay-proxy-"));
        const proxy = await startStandIn("fault-proxy", { name: "fault-proxy", words: [], directory });
        const listen = await findFreeAddress();
        let opened: Promise<unknown> | undefined;
        this.promises = await PromiseFleet.launch(seed, 1, {
            platformOf: (host, { keyValue }) => {
                opened ??= callControl(proxy.url, "/routes", { listen, target: keyValue.address, labels: ["keyValue"] });
                return host.failureDomain === failureDomain ? { keyValue: `http://${listen}` } : {};
            },
        });
        this.promises.proxy = proxy;
        await opened;
        rmSync(directory, { recursive: true, force: true });
    },
);

/** Returns a free address; the route listens on it once the key-value service's address is known. */
function findFreeAddress(): Promise<string> {
    return new Promise(resolve => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(`127.0.0.1:${port}`));
        });
    });
}

Given("the versions of all hosts are monitored", async function(this: ConfigurationWorld) {
    this.firstHead = await useKeyValue(this.promises, async keyValue => {
        const stored = await keyValue.get(configurationHeadKey, "operator");
        return stored.ok && stored.value !== undefined ? stored.value.value : "";
    });
    this.monitor = new VersionMonitor(this.promises);
});

After({ tags: "@promises", ...stepTimeout }, async function(this: ConfigurationWorld) {
    await this.monitor?.stop();
});

async function useKeyValue<T>(promises: PromiseFleet, use: (keyValue: KeyValueClient) => Promise<T>): Promise<T> {
    const keyValue = createKeyValueClient({ url: promises.fleet.platform.keyValue.url, clock });
    try {
        return await use(keyValue);
    }
    finally {
        await keyValue.stop();
    }
}

function changedAnswers(firstTokenMs: number): Answers {
    const answers = readAnswers();
    return { ...answers, latencyTarget: { ...answers.latencyTarget, firstTokenMs } };
}

function submitAll(promises: PromiseFleet, all: readonly Answers[]): Promise<Outcome<ConfigurationHead, SubmissionIssue>[]> {
    return useKeyValue(promises, async keyValue => {
        const base = await readHead(keyValue);
        assert.ok(base.ok);
        return Promise.all(
            all.map(answers => submit({ keyValue, clock, answers, base: base.value, submissionId: randomUUID(), limitMs })),
        );
    });
}

When("two operators submit different answers concurrently", stepTimeout, async function(this: ConfigurationWorld) {
    this.submissions = await submitAll(this.promises, [changedAnswers(1_111), changedAnswers(2_222)]);
});

When("an operator submits changed answers", stepTimeout, async function(this: ConfigurationWorld) {
    const [submitted] = await submitAll(this.promises, [changedAnswers(3_333)]);
    assert.ok(submitted?.ok);
});

Then(
    "one submission is in effect on all hosts and the other operator is shown the difference",
    stepTimeout,
    async function(this: ConfigurationWorld) {
        const accepted = this.submissions.flatMap(submission => submission.ok ? [submission.value] : []);
        const rejected = this.submissions.flatMap(submission => submission.ok ? [] : [submission.issue]);
        assert.deepEqual([accepted.length, rejected.length], [1, 1]);
        assert.equal(rejected[0]!.code, "submission.lost");
        assert.deepEqual(rejected[0]!.differences?.map(({ path }) => path.join(".")), ["latencyTarget.firstTokenMs"]);
        await waitForVersion(this, 2);
        for (const { hostId } of this.promises.fleet.entryHosts()) {
            const { configuration } = await this.promises.status(hostId);
            assert.equal(configuration?.digest, accepted[0]!.digest);
        }
    },
);

Then(
    "all hosts have version {int} and no ready host reverted",
    stepTimeout,
    async function(this: ConfigurationWorld, version: number) {
        await waitForVersion(this, version);
        assert.deepEqual(this.monitor.violations, []);
    },
);

async function waitForVersion(world: ConfigurationWorld, version: number): Promise<void> {
    await waitFor(`version ${version} on all hosts`, async () => {
        const statuses = await Promise.all(world.promises.fleet.entryHosts().map(({ hostId }) => world.promises.status(hostId)));
        return statuses.every(status => status.configuration?.version === version) ? true : undefined;
    }, { limitMs });
    world.monitor.minimumVersion = version;
}

When("the route {string} is partitioned", async function(this: ConfigurationWorld, label: string) {
    await this.promises.routeFaults(label, { partition: "silent" });
});

When(
    "a new host {string} starts in {string}",
    stepTimeout,
    async function(this: ConfigurationWorld, hostId: string, failureDomain: string) {
        await this.promises.fleet.addEntryHost(hostId, failureDomain);
        await this.promises.fleet.waitUntilReady(limitMs);
    },
);

When("the host {string} is restarted", stepTimeout, async function(this: ConfigurationWorld, hostId: string) {
    await this.promises.fleet.restart(hostId);
});

When("the stored head is replaced by version 1", stepTimeout, async function(this: ConfigurationWorld) {
    await useKeyValue(this.promises, async keyValue => {
        const stored = await keyValue.get(configurationHeadKey, "operator");
        assert.ok(stored.ok && stored.value !== undefined);
        const options = { expectedVersion: stored.value.version, purpose: "operator" as const };
        assert.ok((await keyValue.compareAndSwap(configurationHeadKey, this.firstHead, options)).ok);
    });
});

interface StartWorld {
    service: ReturnType<typeof createConfigurationService>;
    releasePeerReply: () => void;
}

Given("a stored head of version 1 and a peer with version 2 that responds late", function(this: StartWorld) {
    const [stored, newer] = [1, 2].map(version =>
        JSON.stringify(buildHead({ answers: readAnswers(), version, submissionId: `s${version}`, submittedAt: new Date(0) }))
    ) as [string, string];
    const history = new HeadHistory();
    history.add(2, newer);
    const peerReply = new Promise<void>(resolve => this.releasePeerReply = resolve);
    const kernel = createKernel({ clock, log: silentEventLog });
    const member = (hostId: string) => ({ hostId, failureDomain: "d", state: "alive" });
    const noop = () => undefined;
    const services = {
        keyValue: {
            get: () => Promise.resolve(success({ key: configurationHeadKey, value: stored, version: 9 })),
            watch: () => new Promise(noop),
        },
        membership: {
            self: () => member("a"),
            members: () => [member("a"), member("b")],
            onConfigurationAnnounced: noop,
            onChange: noop,
            announceConfiguration: noop,
            publish: noop,
        },
        peers: { handle: noop, call: () => peerReply.then(() => success(history.reply(0))) },
    };
    Object.entries(services).forEach(([name, service]) => kernel.register(name, service));
    this.service = createConfigurationService(kernel);
});

Then("a starting host becomes ready only with version 2", async function(this: StartWorld) {
    const started = this.service.start?.();
    await delay(50);
    assert.equal(this.service.isReady(), false);
    this.releasePeerReply();
    await started;
    assert.deepEqual([this.service.isReady(), this.service.head()?.version], [true, 2]);
    await this.service.stop?.(0);
});
