import { After, Given, Then, When } from "@cucumber/cucumber";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, RequestId } from "@filbertrelay/kernel";
import { describeEngine, renderStreamHead, StandinEngine } from "@filbertrelay/platform/standins";
import type { EngineBehaviour, StoreBackup } from "@filbertrelay/platform/standins";
import fc from "fast-check";
import assert from "node:assert/strict";
import { findPort, IngressFixture, otherCustomerKey, respondFully, waitFor } from "../support/ingress.js";
import type { CallerResponse } from "../support/ingress.js";
import { RememberingHost } from "../support/rememberinghost.js";
import { breakOff, completeFrom, eventCount, renderVersionEvent } from "../support/versionengines.js";
import { VersionSimulation, versionSteps } from "../support/versionsimulation.js";
import type { IngressWorld } from "./ingress.endpoint.js";

interface VersionWorld extends IngressWorld {
    versions: readonly string[];
    pairs: { readonly first: CallerResponse; readonly second: CallerResponse | undefined; }[];
    added: StandinEngine | undefined;
    backup: StoreBackup;
    remembering: RememberingHost[];
    begun: ReadonlyMap<RequestId, string>;
    counts: { known: number; continued: number; };
}

// A failed property prints this seed with the counterexample.
const seed = 20_261_205;
const clock = createSystemClock();
/** A request that the host under test never got. */
const unknownStream = "stream-of-before";

function pause(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

async function startIngress(
    world: VersionWorld,
    versions: readonly string[],
    prepare?: (store: IngressFixture["store"]) => void,
): Promise<void> {
    world.ingress = new IngressFixture();
    world.versions = versions;
    await world.ingress.start({ hasConfiguration: true, versions, ...(prepare === undefined ? {} : { prepare }) });
    world.ingress.setBehaviours(...versions.map(completeFrom));
}

Given("an ingress with engines of the versions {string} and {string}", async function(
    this: VersionWorld,
    first: string,
    second: string,
) {
    await startIngress(this, [first, second]);
});

Given(
    /^an ingress with engines of the versions "(v1)" and "(v1)" whose store says that (\S+) was seen (\d+) s ago$/,
    async function(this: VersionWorld, first: string, second: string, other: string, seconds: string) {
        const nowMs = Date.now();
        const versions = { [first]: null, ...(other === "none" ? {} : { [other]: nowMs - Number(seconds) * 1_000 }) };
        const record = {
            era: 0,
            completeSinceMs: nowMs - 600_000,
            services: { assistant: versions, records: { [first]: null } },
        };
        await startIngress(this, [first, second], store => store.put("filbertrelay/versions", record));
    },
);

Given(
    "an ingress with engines of the versions {string} and {string} whose store says that a stream began at {string}",
    async function(this: VersionWorld, first: string, second: string, version: string) {
        const origin = { requestId: `crew/${unknownStream}`, service: "assistant", version, untilMs: Date.now() + 10_000 };
        await startIngress(this, [first, second], store => store.put("filbertrelay/streams/host-9/run/1", [origin]));
    },
);

Then("the store names the versions of all of them within {int} ms", async function(this: VersionWorld, limitMs: number) {
    const startMs = performance.now();
    const stored = (): readonly string[] =>
        this.ingress.store.keys("filbertrelay/streams/").flatMap(key =>
            (JSON.parse(this.ingress.store.read(key) ?? "[]") as { readonly requestId: string; readonly version: string; }[]).map(
                ({ requestId, version }) => `${requestId} ${version}`,
            )
        );
    const expected = this.answers.map(({ requestId, body }) => `crew/${requestId} ${body.match(/v\d/)?.[0]}`);
    await waitFor(() => Promise.resolve(expected.every(origin => stored().includes(origin))));
    assert.ok(performance.now() - startMs <= limitMs);
});

Then("an engine of version {string} completes it", function(this: VersionWorld, version: string) {
    const [answer] = this.answers;
    assert.ok(answer!.isComplete);
    assert.deepEqual([...new Set(answer!.body.match(/data: v\d/g))], [`data: ${version}`]);
});

Given(/^engines of version "(\S+)" that break off (after the second event|before any event)$/, function(
    this: VersionWorld,
    version: string,
    when: string,
) {
    const broken: EngineBehaviour = when === "before any event" ? (_, { reset }) => reset() : breakOff(version);
    this.ingress.setBehaviours(...this.versions.map(each => each === version ? broken : completeFrom(each)));
});

Given("engines that break off streams after the second event and complete those that are taken up", function(this: VersionWorld) {
    this.ingress.setBehaviours(...this.versions.map((version): EngineBehaviour => (received, connection) => {
        const isResumed = received.headers["resumes"] !== undefined;
        return (isResumed ? completeFrom(version) : breakOff(version))(received, connection);
    }));
});

Given("engines that pause streams after the second event and complete those that are taken up", function(this: VersionWorld) {
    this.ingress.setBehaviours(...this.versions.map((version): EngineBehaviour => (received, connection) => {
        if (received.headers["resumes"] !== undefined) {
            completeFrom(version)(received, connection);
            return;
        }
        connection.send(renderStreamHead(received) + renderVersionEvent(1, version) + renderVersionEvent(2, version));
    }));
});

When("a caller sends streams until one has begun at version {string}", async function(this: VersionWorld, version: string) {
    const index = this.versions.indexOf(version);
    for (let sent = 0; sent < 40; sent += 1) {
        this.ingress.engines.forEach(engine => engine.requests.splice(0));
        const answer = await this.ingress.send("stream");
        if (this.ingress.engines[index]!.requests.length > 0) {
            this.answers = [answer];
            return;
        }
    }
    assert.fail(`No stream began at version ${version}.`);
});

Then(
    "the response ends after two events without its end, within {int} ms of them",
    function(this: VersionWorld, limitMs: number) {
        const [answer] = this.answers;
        assert.equal(answer!.isComplete, false);
        assert.deepEqual(answer!.body.match(/id: \d/g), ["id: 1", "id: 2"]);
        assert.ok(answer!.elapsedMs - Math.max(...answer!.chunkArrivalsMs) <= limitMs);
    },
);

Then("no engine of version {string} got a part of it", function(this: VersionWorld, version: string) {
    assert.equal(this.ingress.engines[this.versions.indexOf(version)]!.requests.length, 0);
});

When("a caller sends {int} streams", async function(this: VersionWorld, count: number) {
    this.answers = [];
    for (let sent = 0; sent < count; sent += 1) {
        this.answers.push(await this.ingress.send("stream"));
    }
});

Then("all of them are complete", function(this: VersionWorld) {
    assert.ok(this.answers.every(({ isComplete, body }) => isComplete && body.includes(`id: ${eventCount}`)));
});

function takeUp(
    ingress: IngressFixture,
    first: string,
    lastEventId: number,
    route = "stream",
): Promise<CallerResponse> {
    return ingress.send(route, { headers: { "Resumes": first, "Last-Event-Id": String(lastEventId) } });
}

When("a caller sends {int} streams and takes up each that breaks off", async function(this: VersionWorld, count: number) {
    await sendAndTakeUp(this, "stream", count);
});

When(
    "a caller sends {int} {string} streams and takes up each that breaks off",
    async function(this: VersionWorld, count: number, route: string) {
        await sendAndTakeUp(this, route, count);
    },
);

async function sendAndTakeUp(world: VersionWorld, route: string, count: number): Promise<void> {
    world.pairs = [];
    for (let sent = 0; sent < count; sent += 1) {
        const first = await world.ingress.send(route);
        const second = first.isComplete ? undefined : await takeUp(world.ingress, first.requestId, 2, route);
        world.pairs.push({ first, second });
    }
}

Then("both parts of each stream come from the same service, and both services began some", function(this: VersionWorld) {
    const serviceOf = ({ requestId }: CallerResponse): string | undefined =>
        this.ingress.received().find(({ headers }) => headers["x-filbertrelay-attempt-id"] === requestId)
            ?.headers["x-filbertrelay-target-instance"]?.split("-")[0];
    const services = this.pairs.map((
        { first, second },
    ) => [serviceOf(first), second === undefined ? undefined : serviceOf(second)]);
    assert.ok(services.every(([first, second]) => first === second), JSON.stringify(services));
    assert.equal(new Set(services.flat()).size, 2);
});

Then("each stream holds events of one version", function(this: VersionWorld) {
    for (const { first, second } of this.pairs) {
        const versions = new Set(`${first.body}${second?.status === 200 ? second.body : ""}`.match(/data: v\d/g));
        assert.equal(versions.size, 1, [...versions].join());
    }
});

Then("at least {int} of them are complete", function(this: VersionWorld, least: number) {
    const complete = this.pairs.filter(({ first, second }) => (second ?? first).body.includes(`id: ${eventCount}`));
    assert.ok(complete.length >= least, String(complete.length));
});

When("a caller sends a stream and takes it up while it pauses", async function(this: VersionWorld) {
    const first = this.ingress.send("stream", { requestId: "stream-1" });
    await waitFor(() => Promise.resolve(this.ingress.received().length === 1));
    await pause(100);
    const second = await takeUp(this.ingress, "stream-1", 2);
    this.pairs = [{ first: await first, second }];
});

Then("the first response is cut and the second one is complete", function(this: VersionWorld) {
    const [{ first, second }] = this.pairs as [VersionWorld["pairs"][number]];
    assert.equal(first.isComplete, false);
    assert.ok(first.elapsedMs < 800, String(first.elapsedMs));
    assert.ok(second!.isComplete && second!.body.includes(`id: ${eventCount}`));
});

When("another customer takes up the stream of a caller while it pauses", async function(this: VersionWorld) {
    const first = this.ingress.send("stream", { requestId: "stream-1" });
    await waitFor(() => Promise.resolve(this.ingress.received().length === 1));
    await pause(100);
    const headers = { "Resumes": "stream-1", "Last-Event-Id": "2" };
    const second = await this.ingress.send("stream", { key: otherCustomerKey, headers });
    this.pairs = [{ first: await first, second }];
});

Then("it is rejected as not run and the first response goes on", function(this: VersionWorld) {
    const [{ first, second }] = this.pairs as [VersionWorld["pairs"][number]];
    assert.equal(second!.status, 503);
    assert.match(second!.body, /"executed":"no"/);
    assert.ok(first.elapsedMs > 1_000, String(first.elapsedMs));
});

When("a caller takes up a stream that no host knows", async function(this: VersionWorld) {
    this.answers = [await takeUp(this.ingress, unknownStream, 2)];
});

Then("it is rejected as not run within {int} ms and no engine got it", function(this: VersionWorld, limitMs: number) {
    const [answer] = this.answers;
    assert.equal(answer!.status, 503);
    assert.match(answer!.body, /"executed":"no"/);
    assert.ok(answer!.elapsedMs <= limitMs);
    assert.equal(this.ingress.received().length, 0);
});

Then("the response has status {int}", function(this: VersionWorld, status: number) {
    assert.equal(this.answers[0]!.status, status);
});

Then("the store names the versions {string} of {string} within {int} ms", async function(
    this: VersionWorld,
    versions: string,
    service: string,
    limitMs: number,
) {
    const startMs = performance.now();
    await waitFor(() => {
        const record = JSON.parse(this.ingress.store.read("filbertrelay/versions") ?? "{}") as {
            readonly era?: number;
            readonly services?: Record<string, Record<string, unknown>>;
        };
        const known = Object.keys(record.services?.[service] ?? {}).sort().join();
        return Promise.resolve(known === versions && record.era === this.ingress.store.era);
    });
    assert.ok(performance.now() - startMs <= limitMs);
});

When("an engine of version {string} comes", async function(this: VersionWorld, version: string) {
    this.backup = this.ingress.store.backUp();
    this.added = new StandinEngine(respondFully);
    await this.added.start();
    this.ingress.store.put("servers/added", describeEngine(this.added, { service: "assistant", version, isModel: true }));
});

When("the store is restored from a copy without the record", async function(this: VersionWorld) {
    const entries = this.backup.entries.filter(({ key }) => key !== "filbertrelay/versions");
    const added = this.ingress.store.read("servers/added");
    this.ingress.store.restore({ ...this.backup, entries });
    await pause(100);
    this.ingress.store.put("servers/added", added);
});

After(function(this: Partial<VersionWorld>) {
    this.added?.stop();
});

Given("{int} hosts that see the versions {string} and {string} of a service", async function(
    this: VersionWorld,
    count: number,
    first: string,
    second: string,
) {
    await startHosts(this, count, [first, second]);
});

Given(
    "{int} hosts that see the versions {string} of a service",
    async function(this: VersionWorld, count: number, first: string) {
        await startHosts(this, count, [first]);
    },
);

async function startHosts(world: VersionWorld, count: number, versions: readonly string[]): Promise<void> {
    const ports = await Promise.all(Array.from({ length: count }, () => findPort()));
    const listHosts = (): readonly { readonly hostId: HostId; readonly failureDomain: FailureDomainId; }[] =>
        world.remembering.map(({ hostId }, index) => ({
            hostId,
            failureDomain: brandAs<FailureDomainId>(`domain-${index % 3}`),
        }));
    world.remembering = ports.map((port, index) =>
        new RememberingHost(brandAs<HostId>(`host-${index}`), `127.0.0.1:${port}`, listHosts)
    );
    for (const host of world.remembering) {
        world.remembering.forEach(({ hostId, address }) =>
            hostId === host.hostId ? undefined : host.network.setAddress(hostId, address)
        );
        await host.network.start();
        await host.streams.start();
        host.observe(versions);
    }
}

async function beginStreams(world: VersionWorld, versions: readonly string[]): Promise<void> {
    const [first] = world.remembering;
    const begun = new Map<RequestId, string>();
    for (let index = 0; index < 30; index += 1) {
        const requestId = brandAs<RequestId>(`stream-${index}`);
        const version = versions[index % versions.length]!;
        first!.streams.recordBegin(requestId, { service: "assistant", version, timeLimitMs: 5_000, end: () => undefined });
        begun.set(requestId, version);
    }
    world.begun = begun;
    await pause(100);
}

async function loseFirst(world: VersionWorld): Promise<void> {
    await pause(300);
    await world.remembering[0]!.network.stop(clock.monotonicMs());
}

When("streams begin at the first host, which is then lost", async function(this: VersionWorld) {
    await beginStreams(this, ["v1", "v2"]);
    await loseFirst(this);
});

When("streams begin at the first host, a second version comes and the first host is lost", async function(this: VersionWorld) {
    await beginStreams(this, ["v1"]);
    this.remembering.forEach(host => host.observe(["v1", "v2"]));
    await loseFirst(this);
});

Then("each other host finds the versions of all of them", async function(this: VersionWorld) {
    const others = this.remembering.slice(1);
    for (const { streams } of others) {
        for (const [requestId, version] of this.begun) {
            assert.equal(await streams.find({ requestId, service: "assistant", timeLimitMs: 5_000 }), version);
        }
    }
    await Promise.all(others.map(({ network }) => network.stop(clock.monotonicMs())));
});

Then(
    "in {int} schedules of releases, lost hosts and take-ups no stream goes on at another version",
    function(this: VersionWorld, numRuns: number) {
        this.counts = { known: 0, continued: 0 };
        fc.assert(
            fc.property(versionSteps, steps => {
                const simulation = new VersionSimulation();
                simulation.run(steps);
                this.counts.known += simulation.counts.known;
                this.counts.continued += simulation.counts.continued;
            }),
            { numRuns, seed },
        );
    },
);

Then("streams are taken up in most cases where a host remembers them", function(this: VersionWorld) {
    const { known, continued } = this.counts;
    assert.ok(known > 1_000 && continued > known * 0.9, `${continued} of ${known}`);
});
