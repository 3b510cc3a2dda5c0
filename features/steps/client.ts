import { After, Given, setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import type { DataTable } from "@cucumber/cucumber";
import { checkGuarantees, clientScript, readHead, renderReport, startStandIn, submit } from "@filbertrelay/client";
import type { AnswerOutcome, KeyOutcome, StandIn, SubmissionIssue } from "@filbertrelay/client";
import { checkAnswers, diffConfigurations, generateConfiguration, hashKey } from "@filbertrelay/configuration";
import type { Answers, ConfigurationHead } from "@filbertrelay/configuration";
import { createKeyValueClient } from "@filbertrelay/connectors";
import { createSystemClock } from "@filbertrelay/kernel";
import type { Outcome } from "@filbertrelay/kernel";
import { Hono } from "hono";
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { parse, stringify } from "smol-toml";
import { serveOnLoopback } from "../support/server.js";

interface ClientWorld {
    directory: string;
    code: number;
    output: string;
    standIn: StandIn;
    keyValueUrl: string;
    entry: string | undefined;
    polls: number;
    base: Answers;
    close: (() => Promise<unknown>)[];
    submissions: Outcome<ConfigurationHead, SubmissionIssue>[];
    codes: number[];
    page: string;
}

// Steps start processes, which can take seconds on a shared machine.
setDefaultTimeout(60_000);

const clock = createSystemClock();
const operatorKey = "test-operator-key";

After(async function(this: ClientWorld) {
    await Promise.all((this.close ?? []).map(close => close()));
    if (this.directory !== undefined) {
        rmSync(this.directory, { recursive: true, force: true });
    }
});

function prepare(world: ClientWorld): void {
    world.directory ??= mkdtempSync(join(tmpdir(), "filbertrelay-client-"));
    world.close ??= [];
}

function runClient(words: readonly string[]): Promise<{ code: number; output: string; }> {
    return new Promise(resolve => {
        const child = spawn(process.execPath, [clientScript, ...words], {
            stdio: ["ignore", "pipe", "ignore"],
            env: { ...process.env, NODE_OPTIONS: "", FILBERTRELAY_OPERATOR_KEY: operatorKey },
        });
        let output = "";
        child.stdout.on("data", (data: Buffer) => {
            output += data.toString();
        });
        child.once("close", code => resolve({ code: code ?? -1, output }));
    });
}

function readAnswers(deployment: string): Answers {
    const answers = checkAnswers(parse(readFileSync(`examples/${deployment}.toml`, "utf8")));
    assert.ok(answers.ok);
    return answers.value;
}

When("the command {string} runs", async function(this: ClientWorld, command: string) {
    Object.assign(this, await runClient(command.split(" ")));
});

Then("it ends with exit code {int}", function(this: ClientWorld, code: number) {
    assert.equal(this.code, code, this.output);
});

Then("it ends with exit code {int} and writes JSON with {string}", function(this: ClientWorld, code: number, member: string) {
    assert.equal(this.code, code, this.output);
    assert.ok(member in JSON.parse(this.output), this.output);
});

Given("a key-value service that holds the answers of {string}", async function(this: ClientWorld, deployment: string) {
    prepare(this);
    this.standIn = await startStandIn("key-value", { name: "key-value", words: [], directory: this.directory });
    this.keyValueUrl = this.standIn.url;
    this.close.push(() => this.standIn.process.kill());
    this.base = readAnswers(deployment);
    assert.ok((await submitTo(this.standIn.url, this.base)).ok);
});

async function submitTo(url: string, answers: Answers): Promise<Outcome<ConfigurationHead, SubmissionIssue>> {
    const keyValue = createKeyValueClient({ url, clock });
    const base = await readHead(keyValue);
    assert.ok(base.ok);
    const submitted = await submit({
        keyValue,
        clock,
        answers,
        base: base.value,
        submissionId: "other-operator",
        limitMs: 5_000,
    });
    await keyValue.stop();
    return submitted;
}

Given(
    "another operator who raises the weight of cost between the read and the write of \"apply\"",
    async function(this: ClientWorld) {
        let isFirst = true;
        const target = this.standIn.url;
        const application = new Hono();
        application.all("*", async context => {
            if (context.req.method === "PUT" && isFirst) {
                isFirst = false;
                assert.ok((await submitTo(target, { ...this.base, favours: "cost" })).ok);
            }
            const body = context.req.method === "GET" ? {} : { body: await context.req.text() };
            return fetch(target + context.req.path, {
                method: context.req.method,
                headers: { "content-type": "application/json" },
                ...body,
            });
        });
        const proxy = await serveOnLoopback(application);
        this.close.push(proxy.close);
        this.keyValueUrl = `http://${proxy.address}`;
    },
);

When("apply submits the answers of {string} with another latency target", async function(this: ClientWorld, deployment: string) {
    const file = join(this.directory, "changed.toml");
    const answers = readAnswers(deployment);
    writeFileSync(file, stringify({ ...answers, latencyTarget: { ...answers.latencyTarget, firstTokenMs: 1_234 } }));
    const wait = this.entry === undefined ? ["--wait-seconds", "0"] : ["--wait-seconds", "3", "--entry", this.entry];
    Object.assign(this, await runClient(["apply", file, "--json", "--key-value", this.keyValueUrl, ...wait]));
});

Then("the differences name exactly {string} and {string}", function(this: ClientWorld, first: string, second: string) {
    const { other } = JSON.parse(this.output) as { other: { differences: { path: string[]; }[]; }; };
    assert.deepEqual(other.differences.map(difference => difference.path.join(".")), [first, second]);
});

async function storedHead(world: ClientWorld): Promise<ConfigurationHead> {
    const keyValue = createKeyValueClient({ url: world.standIn.url, clock });
    const head = await readHead(keyValue);
    await keyValue.stop();
    assert.ok(head.ok && head.value.head !== undefined);
    return head.value.head;
}

Then("the head holds the other operator's submission as version {int}", async function(this: ClientWorld, version: number) {
    const head = await storedHead(this);
    assert.deepEqual([head.version, head.submissionId], [version, "other-operator"]);
});

Then("the head holds this submission as version {int}", async function(this: ClientWorld, version: number) {
    const head = await storedHead(this);
    const { submissionId } = JSON.parse(this.output) as { submissionId: string; };
    assert.deepEqual([head.version, head.submissionId], [version, submissionId]);
    assert.equal(head.configuration.latencyTarget.firstTokenMs, 1_234);
});

When("{int} operators submit different answers against the same base", async function(this: ClientWorld, operators: number) {
    const keyValue = createKeyValueClient({ url: this.standIn.url, clock });
    const base = await readHead(keyValue);
    assert.ok(base.ok);
    this.submissions = await Promise.all(Array.from({ length: operators }, (...[, index]) => {
        const answers = { ...this.base, latencyTarget: { firstTokenMs: 1_000 + index, betweenTokensMs: 100 + index } };
        return submit({ keyValue, clock, answers, base: base.value, submissionId: `operator-${index}`, limitMs: 5_000 });
    }));
    await keyValue.stop();
});

Then(
    "exactly {int} is written and {int} learn the difference between the base and that one",
    async function(this: ClientWorld, written: number, lost: number) {
        const head = await storedHead(this);
        const winners = this.submissions.flatMap(submission => submission.ok ? [submission.value.submissionId] : []);
        assert.deepEqual([winners.length, winners[0]], [written, head.submissionId]);
        const expected = diffConfigurations(generateConfiguration(this.base), head.configuration);
        const losers = this.submissions.flatMap(submission => submission.ok ? [] : [submission.issue]);
        assert.equal(losers.length, lost);
        losers.forEach(issue => assert.deepEqual([issue.code, issue.differences], ["submission.lost", expected]));
    },
);

Given("the reply to the next write is lost", async function(this: ClientWorld) {
    const response = await fetch(`${this.standIn.url}/control/faults`, {
        method: "POST",
        body: JSON.stringify({ loseReplies: 1, loseMethods: ["PUT"] }),
    });
    assert.equal(response.status, 200);
});

Given(
    "a daemon that reports the new version for {string} only after {int} polls",
    async function(this: ClientWorld, late: string, polls: number) {
        this.polls = 0;
        const application = new Hono();
        application.get("/v1/status", context => {
            if (context.req.header("authorization") !== `Bearer ${operatorKey}`) {
                return context.text("", 401);
            }
            this.polls += 1;
            const members = this.base.failureDomains.map(failureDomain => ({
                hostId: failureDomain,
                failureDomain,
                state: "alive",
                callerAddress: this.entry,
            }));
            const versions = members.map(({ hostId }) => ({ hostId, version: hostId === late && this.polls <= polls ? 1 : 2 }));
            const host = { id: "coast-a", incarnation: "1", failureDomain: "coast-a", state: "alive" };
            return context.json({ host, members, versions, shards: [], entries: [], keyValue: {}, counters: {} });
        });
        const daemon = await serveOnLoopback(application);
        this.close.push(daemon.close);
        this.entry = daemon.address;
    },
);

Then("the daemon was polled at least {int} times", function(this: ClientWorld, polls: number) {
    assert.ok(this.polls >= polls, `The daemon was polled ${this.polls} times.`);
});

When("init copies the answers of {string} to a file twice", async function(this: ClientWorld, deployment: string) {
    prepare(this);
    this.base = readAnswers(deployment);
    const words = ["init", "--from", `examples/${deployment}.toml`, "--output", join(this.directory, "answers.toml")];
    this.codes = [(await runClient(words)).code, (await runClient(words)).code];
});

Then(
    "the first run ends with {int}, the second with {int}, and the file generates the same configuration",
    function(this: ClientWorld, first: number, second: number) {
        assert.deepEqual(this.codes, [first, second]);
        const copied = checkAnswers(parse(readFileSync(join(this.directory, "answers.toml"), "utf8")));
        assert.ok(copied.ok);
        assert.deepEqual(generateConfiguration(copied.value), generateConfiguration(this.base));
    },
);

const goodKey: KeyOutcome = { key: "k", outcomes: ["done"], executions: 1 };
const goodAnswer: AnswerOutcome = { name: "a", accepted: true, complete: true, own: true, outOfOrder: 0 };
const faults: Record<string, { key?: Partial<KeyOutcome>; answer?: Partial<AnswerOutcome>; strays?: string[]; }> = {
    none: {},
    ranTwice: { key: { executions: 2 } },
    ranAfterNo: { key: { outcomes: ["notRun"] } },
    neverRan: { key: { executions: 0 } },
    open: { key: { outcomes: ["open"] } },
    stray: { strays: ["unknown-key"] },
    partial: { answer: { complete: false } },
    foreign: { answer: { own: false } },
    disordered: { answer: { outOfOrder: 1 } },
};

Then("each fault fails exactly its check", function(table: DataTable) {
    for (const { fault, check } of table.hashes()) {
        const { key, answer, strays } = faults[fault!]!;
        const checks = checkGuarantees(
            [goodKey, { ...goodKey, ...key }],
            [goodAnswer, { ...goodAnswer, ...answer }],
            strays ?? [],
        );
        assert.deepEqual(checks.filter(result => !result.passed).map(result => result.name), check === "" ? [] : [check]);
    }
});

When("a result with markup in its names is rendered", function(this: ClientWorld) {
    const percentiles = { count: 1, p50: 1, p95: 2, p99: 3, maximum: 4 };
    const markup = "<script src=\"http://x.example/a.js\">&</script>";
    this.page = renderReport({
        format: "filbertrelay-result",
        formatVersion: 1,
        deployment: markup,
        command: "demo",
        startedAt: new Date(0).toISOString(),
        durationMs: 1_000,
        events: [{ atMs: 10, text: markup }],
        requests: [{
            kind: markup,
            customer: markup,
            atMs: 1,
            outcome: "done",
            firstTokenMs: 3,
            durationMs: 5,
            reconnects: 0,
            attempts: 1,
        }],
        outcomes: [{ kind: markup, outcome: markup, count: 1 }],
        firstTokenMs: percentiles,
        betweenTokensMs: percentiles,
        serviceMs: percentiles,
        executions: [{ executions: 1, keys: 1 }],
        recomputedTokens: { [markup]: 5 },
        cost: [{ failureDomain: markup, role: "entry", reclaimable: true, hosts: 1, cost: 3 }],
        checks: [{ name: markup, passed: false, details: markup }],
    });
});

Then("the page has no script, no reference to another file and no markup from the names", function(this: ClientWorld) {
    assert.doesNotMatch(this.page, /<script|<link|<img|\ssrc="|\shref=|url\(/i);
    assert.match(this.page, /&lt;script src=&quot;http:\/\/x\.example\/a\.js&quot;&gt;&amp;&lt;\/script&gt;/);
    assert.equal(this.page.match(/<figure>/g)?.length, this.page.match(/<\/svg>/g)?.length);
});

When("a scripted operator answers all questions", async function(this: ClientWorld) {
    const { askQuestionnaire } = await import("@filbertrelay/client");
    const confirmations = new Map<string, number>();
    const questioned = await askQuestionnaire({
        text: async (question, options) => {
            const answer = /^Failure domains/.test(question) ? "north, south" : options?.initial ?? `name-${question.length}`;
            assert.equal(options?.check?.(answer), undefined, question);
            return answer;
        },
        choose: async (question, choices) => {
            const [first] = choices;
            assert.ok(first !== undefined, question);
            return first;
        },
        // Each list gets one further item only where its names can't repeat, so the operator always stops after the first.
        confirm: async question => {
            confirmations.set(question, (confirmations.get(question) ?? 0) + 1);
            return !question.startsWith("Another");
        },
    });
    const answers = checkAnswers(questioned.document);
    assert.ok(answers.ok, answers.ok ? "" : JSON.stringify(answers.issue.issues));
    this.base = answers.value;
    this.output = JSON.stringify(questioned.keys);
});

Then("the answers are accepted and every new key matches its hash", function(this: ClientWorld) {
    const { operator, ...customers } = JSON.parse(this.output) as Record<string, string>;
    assert.deepEqual(this.base.operatorKeyHashes, [hashKey(operator!)]);
    assert.deepEqual(
        this.base.customers.map(customer => [customer.name, customer.keyHashes]),
        Object.entries(customers).map(([name, key]) => [name, [hashKey(key)]]),
    );
    assert.ok(this.base.models.length === 1 && this.base.services.length === 1 && this.base.hostClasses.length === 1);
});
