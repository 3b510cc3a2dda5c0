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
    watched: VersionWatch;
}

const clock = createSystemClock();
const watchPeriodMs = 20;

/** Polls every host; a ready host must never have a version below the highest one that all hosts had. */
class VersionWatch {
    readonly faults: string[] = [];
    readonly #promises: PromiseFleet;
    readonly #running: Promise<void>;
    #isStopped = false;
    /** Version that all hosts had at some time. */
    floor = 1;

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
            const { floor } = this;
            await Promise.all(
                this.#promises.fleet.entryHosts().map(({ hostId }) => this.#check(hostId, floor).catch(() => undefined)),
            );
            await delay(watchPeriodMs);
        }
    }

    async #check(hostId: string, floor: number): Promise<void> {
        const ready = await this.#promises.get(hostId, "/readyz", "");
        const { configuration } = await this.#promises.status(hostId);
        if (ready.statusCode === 200 && (configuration?.version ?? 0) < floor) {
            this.faults.push(`'${hostId}' was ready with version ${configuration?.version} after all had version ${floor}.`);
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

/** An address that the system found free; the route takes it as soon as the key-value service's address is known. */
function findFreeAddress(): Promise<string> {
    return new Promise(resolve => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(`127.0.0.1:${port}`));
        });
    });
}

Given("the versions of all hosts are watched", async function(this: ConfigurationWorld) {
    this.firstHead = await useKeyValue(this.promises, async keyValue => {
        const stored = await keyValue.get(configurationHeadKey, "operator");
        return stored.ok && stored.value !== undefined ? stored.value.value : "";
    });
    this.watched = new VersionWatch(this.promises);
});

After({ tags: "@promises", ...stepTimeout }, async function(this: ConfigurationWorld) {
    await this.watched?.stop();
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

When("two operators submit different answers at once", stepTimeout, async function(this: ConfigurationWorld) {
    this.submissions = await submitAll(this.promises, [changedAnswers(1_111), changedAnswers(2_222)]);
});

When("an operator submits other answers", stepTimeout, async function(this: ConfigurationWorld) {
    const [submitted] = await submitAll(this.promises, [changedAnswers(3_333)]);
    assert.ok(submitted?.ok);
});

Then(
    "one submission is in effect on all hosts and the other operator is told the difference",
    stepTimeout,
    async function(this: ConfigurationWorld) {
        const won = this.submissions.flatMap(submission => submission.ok ? [submission.value] : []);
        const lost = this.submissions.flatMap(submission => submission.ok ? [] : [submission.issue]);
        assert.deepEqual([won.length, lost.length], [1, 1]);
        assert.equal(lost[0]!.code, "submission.lost");
        assert.deepEqual(lost[0]!.differences?.map(({ path }) => path.join(".")), ["latencyTarget.firstTokenMs"]);
        await waitForVersion(this, 2);
        for (const { hostId } of this.promises.fleet.entryHosts()) {
            const { configuration } = await this.promises.status(hostId);
            assert.equal(configuration?.digest, won[0]!.digest);
        }
    },
);

Then(
    "all hosts have the version {int} and none went back",
    stepTimeout,
    async function(this: ConfigurationWorld, version: number) {
        await waitForVersion(this, version);
        assert.deepEqual(this.watched.faults, []);
    },
);

async function waitForVersion(world: ConfigurationWorld, version: number): Promise<void> {
    await waitFor(`version ${version} on all hosts`, async () => {
        const statuses = await Promise.all(world.promises.fleet.entryHosts().map(({ hostId }) => world.promises.status(hostId)));
        return statuses.every(status => status.configuration?.version === version) ? true : undefined;
    }, { limitMs });
    world.watched.floor = version;
}

When("the route {string} is cut", async function(this: ConfigurationWorld, label: string) {
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

When("the host {string} is started again", stepTimeout, async function(this: ConfigurationWorld, hostId: string) {
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
    answerPeer: () => void;
}

Given("a stored head of version 1 and a peer with version 2 that answers late", function(this: StartWorld) {
    const [stored, newer] = [1, 2].map(version =>
        JSON.stringify(buildHead({ answers: readAnswers(), version, submissionId: `s${version}`, submittedAt: new Date(0) }))
    ) as [string, string];
    const history = new HeadHistory();
    history.add(2, newer);
    const late = new Promise<void>(resolve => this.answerPeer = resolve);
    const kernel = createKernel({ clock, log: silentEventLog });
    const member = (hostId: string) => ({ hostId, failureDomain: "d", state: "alive" });
    const none = () => undefined;
    const parts = {
        keyValue: {
            get: () => Promise.resolve(success({ key: configurationHeadKey, value: stored, version: 9 })),
            watch: () => new Promise(none),
        },
        membership: {
            self: () => member("a"),
            members: () => [member("a"), member("b")],
            onConfigurationAnnounced: none,
            onChange: none,
            announceConfiguration: none,
            publish: none,
        },
        peers: { handle: none, call: () => late.then(() => success(history.describe(0))) },
    };
    Object.entries(parts).forEach(([name, part]) => kernel.register(name, part));
    this.service = createConfigurationService(kernel);
});

Then("a starting host is ready with version 2 at once", async function(this: StartWorld) {
    const started = this.service.start?.();
    await delay(50);
    assert.equal(this.service.isReady(), false);
    this.answerPeer();
    await started;
    assert.deepEqual([this.service.isReady(), this.service.head()?.version], [true, 2]);
    await this.service.stop?.(0);
});
