import { After, Given, Then, When } from "@cucumber/cucumber";
import { callService, clientScript, createOperatorClient, EntryPoints, launchFleet, waitFor } from "@filbertrelay/client";
import type { Fleet, RunResult } from "@filbertrelay/client";
import { checkAnswers } from "@filbertrelay/configuration";
import type { Answers } from "@filbertrelay/configuration";
import { createCloudClient } from "@filbertrelay/connectors";
import { chaulageWorkload, formatTrace, generateTrace } from "@filbertrelay/emulator";
import { brandAs, createSystemClock } from "@filbertrelay/kernel";
import type { FailureDomainId } from "@filbertrelay/kernel";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse, stringify } from "smol-toml";
import { Agent } from "undici";

interface FleetWorld {
    loopbackFleet: Fleet;
    answers: Answers;
    keys: { operator: string; customers: Record<string, string>; };
    result: { code: number; output: string; };
    reclaimed: readonly string[];
    pids: number[];
}

const limitMs = 60_000;
const launchTimeout = { timeout: 120_000 };

After(launchTimeout, async function(this: FleetWorld) {
    await this.loopbackFleet?.stop();
});

async function launch(world: FleetWorld, entryHosts: number, deployment: string, provisions: boolean): Promise<void> {
    const answers = checkAnswers(parse(readFileSync(`examples/${deployment}.toml`, "utf8")));
    assert.ok(answers.ok);
    world.answers = answers.value;
    world.keys = (parse(readFileSync("examples/keys.toml", "utf8")) as Record<string, FleetWorld["keys"]>)[deployment]!;
    const size = { entryHosts, enginesPerModel: 3, instancesPerService: 1 };
    world.loopbackFleet = await launchFleet({ answers: answers.value, ...size, provisions });
}

Given(
    "a fleet of {int} daemons of {string}",
    launchTimeout,
    function(this: FleetWorld, entryHosts: number, deployment: string) {
        return launch(this, entryHosts, deployment, false);
    },
);

Given(
    "a fleet of {int} daemons of {string} that provisions hosts",
    launchTimeout,
    function(this: FleetWorld, entryHosts: number, deployment: string) {
        return launch(this, entryHosts, deployment, true);
    },
);

function runClient(world: FleetWorld, words: readonly string[]): Promise<{ code: number; output: string; }> {
    return new Promise(resolve => {
        const child = spawn(process.execPath, [clientScript, ...words, "--json"], {
            stdio: ["ignore", "pipe", "ignore"],
            env: {
                ...process.env,
                NODE_OPTIONS: "",
                FILBERTRELAY_ENTRY: world.loopbackFleet.callerAddresses().join(","),
                FILBERTRELAY_KEY_VALUE: world.loopbackFleet.platform.keyValue.url,
                FILBERTRELAY_OPERATOR_KEY: world.keys.operator,
            },
        });
        let output = "";
        child.stdout.on("data", (data: Buffer) => {
            output += data.toString();
        });
        child.once("close", code => resolve({ code: code ?? -1, output }));
    });
}

async function runJson<T>(world: FleetWorld, words: readonly string[]): Promise<T> {
    const { code, output } = await runClient(world, words);
    assert.equal(code, 0, output);
    return JSON.parse(output) as T;
}

When("the fleet's answers are applied with another latency target", launchTimeout, async function(this: FleetWorld) {
    const file = join(this.loopbackFleet.directory, "changed.toml");
    writeFileSync(file, stringify({ ...this.answers, latencyTarget: { firstTokenMs: 1_234, betweenTokensMs: 99 } }));
    this.result = await runClient(this, ["apply", file]);
});

Then(
    "apply ends with {int}, and every daemon reports version {int}",
    async function(this: FleetWorld, code: number, version: number) {
        assert.equal(this.result.code, code, this.result.output);
        const client = createOperatorClient({ operatorKey: this.keys.operator });
        for (const address of this.loopbackFleet.callerAddresses()) {
            const status = await client.status(address);
            assert.equal(status.ok && status.value.configuration?.version, version);
        }
        await client.close();
    },
);

Then("status names {int} alive members", async function(this: FleetWorld, count: number) {
    const { members } = await runJson<{ members: { state: string; }[]; }>(this, ["status"]);
    assert.equal(members.filter(member => member.state === "alive").length, count);
});

Then(
    "a booked payment is listed by requests, explained by explain, and none is unknown",
    launchTimeout,
    async function(this: FleetWorld) {
        const clock = createSystemClock();
        const dispatcher = new Agent();
        const entryPoints = new EntryPoints({ clock, dispatcher, seeds: this.loopbackFleet.callerAddresses() });
        const answer = await callService({ clock, dispatcher, entryPoints }, {
            customerKey: this.keys.customers["tea-house"]!,
            service: "payments",
            method: "POST",
            path: "/payments/1",
            body: "{}",
            idempotencyKey: "payment-1",
            deadlineMs: limitMs,
            patienceMs: limitMs,
        });
        await dispatcher.destroy();
        assert.equal(answer.outcome, "done");
        const { entries } = await runJson<{ entries: { requestId: string; state: string; }[]; }>(this, ["requests"]);
        assert.deepEqual(entries.map(entry => [entry.requestId, entry.state]), [[answer.requestId, "done"]]);
        const explained = await runJson<{ decisions: unknown[]; }>(this, ["explain", answer.requestId!]);
        assert.ok(explained.decisions.length > 0, "The shard's owner must at least show the state.");
        assert.deepEqual((await runJson<{ entries: unknown[]; }>(this, ["requests", "--unknown"])).entries, []);
    },
);

Then(
    "drain makes {string} stop by itself, and the others no longer offer it",
    launchTimeout,
    async function(this: FleetWorld, hostId: string) {
        await runJson(this, ["drain", hostId]);
        const exit = await this.loopbackFleet.host(hostId).process.exited;
        assert.equal(exit, 0);
        const offered = await Promise.all(
            this.loopbackFleet.callerAddresses().map(async address => {
                const response = await fetch(`http://${address}/v1/entry-points`);
                return (await response.json() as { entryPoints: { hostId: string; }[]; }).entryPoints.map(point => point.hostId);
            }),
        );
        assert.deepEqual(offered.map(hostIds => hostIds.includes(hostId)), [false, false]);
    },
);

When("a daemon is killed and restarted and a failure domain is reclaimed", launchTimeout, async function(this: FleetWorld) {
    const { hosts } = this.loopbackFleet;
    await this.loopbackFleet.kill("entry-1");
    assert.equal(this.loopbackFleet.host("entry-1").process.isRunning, false);
    await this.loopbackFleet.restart("entry-1");
    this.reclaimed = await this.loopbackFleet.reclaim({
        failureDomain: this.loopbackFleet.host("entry-2").failureDomain,
        noticeMs: 200,
    });
    assert.ok(this.reclaimed.includes("entry-2") && this.reclaimed.length < hosts.size);
    this.pids = [...hosts.values()].map(host => host.process.pid);
});

Then("the restarted daemon is ready and the reclaimed hosts have ended", launchTimeout, async function(this: FleetWorld) {
    await this.loopbackFleet.waitUntilReady();
    await waitFor(
        "the reclaimed hosts to end",
        // The planner may have ordered a host that this fleet does not start; it has no process to end.
        () => this.reclaimed.every(hostId => this.loopbackFleet.hosts.get(hostId)?.process.isRunning !== true) ? true : undefined,
        { limitMs },
    );
    assert.ok(this.loopbackFleet.host("entry-1").process.isRunning);
});

Then("after the stop no process and no directory of the fleet is left", async function(this: FleetWorld) {
    await this.loopbackFleet.stop();
    assert.deepEqual(this.pids.filter(isProcessRunning), []);
    assert.equal(existsSync(this.loopbackFleet.directory), false);
});

function isProcessRunning(pid: number): boolean {
    try {
        process.kill(pid, 0);
        return true;
    }
    catch {
        return false;
    }
}

/** Processes whose command line names a directory or a URL that only one fleet has. */
function childrenOf(parent: number): number[] {
    return readdirSync("/proc").filter(name => /^\d+$/.test(name)).map(Number).filter(pid => {
        try {
            const status = readFileSync(`/proc/${pid}/stat`, "utf8");
            return Number(status.slice(status.lastIndexOf(")") + 2).split(" ")[1]) === parent;
        }
        catch {
            return false;
        }
    });
}

When("a demo is interrupted after its processes have started", launchTimeout, async function(this: FleetWorld) {
    const output = join(tmpdir(), `filbertrelay-interrupted-${process.pid}.json`);
    const demo = spawn(process.execPath, [clientScript, "demo", "--output", output], {
        stdio: "ignore",
        env: { ...process.env, NODE_OPTIONS: "" },
    });
    const ended = new Promise(resolve => demo.once("exit", resolve));
    // Platform, engines and services together are more than ten processes.
    this.pids = await waitFor("the demo's processes", () => {
        const children = childrenOf(demo.pid!);
        return children.length > 10 ? children : undefined;
    }, { limitMs });
    demo.kill("SIGINT");
    await ended;
});

Then("none of its processes is left", launchTimeout, async function(this: FleetWorld) {
    await waitFor("the demo's processes to end", () => this.pids.some(isProcessRunning) ? undefined : true, { limitMs });
});

When(
    "a trace of {int} requests with seed {int} is replayed against it",
    launchTimeout,
    async function(this: FleetWorld, requests: number, seed: number) {
        const workload = { ...chaulageWorkload, requests, hours: [1], serviceShare: 0.4 };
        const trace = generateTrace(workload, "reported", seed);
        writeFileSync(join(this.loopbackFleet.directory, "trace.jsonl"), formatTrace(trace));
        const foreign = trace.entries.map((entry, index) => index === 0 ? { ...entry, customer: "nobody" } : entry);
        writeFileSync(join(this.loopbackFleet.directory, "foreign.jsonl"), formatTrace({ ...trace, entries: foreign }));
        this.result = await runClient(this, replayWords(this, "trace.jsonl"));
    },
);

function replayWords(world: FleetWorld, trace: string): string[] {
    const directory = world.loopbackFleet.directory;
    const files = [
        "--answers",
        "examples/chaulage.toml",
        "--keys",
        "examples/keys.toml",
        "--output",
        join(directory, "replay.json"),
    ];
    const entry = world.loopbackFleet.callerAddresses()[0]!;
    return ["replay", join(directory, trace), ...files, "--entry", entry, "--duration-seconds", "2", "--stand-ins"];
}

Then(
    "replay ends with {int} and its result holds {int} requests, of which all were answered",
    function(this: FleetWorld, code: number, requests: number) {
        assert.equal(this.result.code, code, this.result.output);
        const result = JSON.parse(this.result.output) as RunResult;
        const answered = result.requests.filter(request => request.outcome === "complete" || request.outcome === "done");
        assert.deepEqual([result.requests.length, answered.length], [requests, requests]);
    },
);

Then(
    "the same trace with a customer that does not exist ends with {int}",
    launchTimeout,
    async function(this: FleetWorld, code: number) {
        const result = await runClient(this, replayWords(this, "foreign.jsonl"));
        assert.equal(result.code, code, result.output);
        assert.match(result.output, /nobody/);
    },
);

When("an entry host and an engine are started through the cloud API", launchTimeout, async function(this: FleetWorld) {
    const cloud = createCloudClient({ url: this.loopbackFleet.platform.cloud.url, clock: createSystemClock() });
    for (const role of ["entry", "engine"] as const) {
        const failureDomain = brandAs<FailureDomainId>("coast-c");
        const wanted = { requestId: role, role, failureDomain, hostClass: role, reclaimable: true };
        assert.ok((await cloud.startHost(wanted)).ok);
    }
    await cloud.stop();
});

Then(
    "the daemons offer the new entry host, and the host list names the new engine",
    launchTimeout,
    async function(this: FleetWorld) {
        const address = this.loopbackFleet.callerAddresses()[0]!;
        await waitFor("the new entry host to be offered", async () => {
            const response = await fetch(`http://${address}/v1/entry-points`);
            const { entryPoints } = await response.json() as { entryPoints: { hostId: string; }[]; };
            return entryPoints.some(point => point.hostId === "host-1") ? true : undefined;
        }, { limitMs });
        await waitFor("the new engine to be listed", async () => {
            const response = await fetch(`${this.loopbackFleet.platform.hostList.url}/v1/hosts`);
            const { hosts } = await response.json() as { hosts: { hostId: string; serves?: string; }[]; };
            return hosts.some(host => host.hostId === "host-2" && host.serves === "drafting") ? true : undefined;
        }, { limitMs });
    },
);
