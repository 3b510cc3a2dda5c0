import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { waitFor } from "../support/ingress.js";
import { LinkedFleet } from "../support/linkedfleet.js";
import type { FleetAnswer, LinkFault } from "../support/linkedfleet.js";

interface StrandedWorld {
    linkedFleet: LinkedFleet | undefined;
    hosts: number;
    cut: readonly number[];
    cutMs: number;
    isDirectoryComplete: boolean;
}

const requestIntervalMs = 15;
const faultsOfWords: Readonly<Record<string, LinkFault>> = { "refuse new ones": "refuse", "accept and hang": "accept" };

After(async function(this: Partial<StrandedWorld>) {
    await this.linkedFleet?.stop();
});

Given(
    "{int} hosts with links of their own to {int} engines in 3 failure domains",
    async function(this: StrandedWorld, hosts: number, engines: number) {
        this.linkedFleet = new LinkedFleet();
        this.hosts = hosts;
        await this.linkedFleet.start({ hosts, engines });
    },
);

Given("callers have pressed for {int} ms", async function(this: StrandedWorld, forMs: number) {
    await this.linkedFleet!.press({ forMs, intervalMs: requestIntervalMs });
});

/** Reads the numbers of a list such as '1, 2 and 3', counted from 1, as indexes. */
function readIndexes(list: string): readonly number[] {
    return [...list.matchAll(/\d+/g)].map(([number]) => Number(number) - 1);
}

When(
    /^the links of the hosts ([\d, and]+) to all engines (hang|are reset and hang|refuse new ones|accept and hang) while callers press for (\d+) ms$/,
    { timeout: 30_000 },
    async function(this: StrandedWorld, hosts: string, fault: string, forMs: string) {
        this.cut = readIndexes(hosts);
        this.cutMs = performance.now();
        for (const host of this.cut) {
            this.linkedFleet!.setLinks(host, faultsOfWords[fault] ?? "hang");
            if (fault === "are reset and hang") {
                this.linkedFleet!.resetLinks(host);
            }
        }
        await this.linkedFleet!.press({ forMs: Number(forMs), intervalMs: requestIntervalMs });
    },
);

When(
    /^the links of the hosts ([\d, and]+) to the engines of one failure domain hang while callers press for (\d+) ms$/,
    { timeout: 30_000 },
    async function(this: StrandedWorld, hosts: string, forMs: string) {
        this.cut = readIndexes(hosts);
        this.cutMs = performance.now();
        this.cut.forEach(host => this.linkedFleet!.setLinks(host, "hang", engine => engine % 3 === 0));
        await this.linkedFleet!.press({ forMs: Number(forMs), intervalMs: requestIntervalMs });
    },
);

When(
    "the links are whole again and callers press for {int} ms",
    { timeout: 30_000 },
    async function(this: StrandedWorld, forMs: number) {
        this.cut.forEach(host => this.linkedFleet!.setLinks(host, "none"));
        await this.linkedFleet!.press({ forMs, intervalMs: requestIntervalMs });
        await this.linkedFleet!.drain();
    },
);

When(
    "all engines pause for {int} ms while callers press for {int} ms",
    { timeout: 30_000 },
    async function(this: StrandedWorld, pauseMs: number, forMs: number) {
        const fleet = this.linkedFleet!;
        const all = Array.from({ length: this.hosts }, (_, host) => host);
        const untilMs = performance.now() + forMs;
        all.forEach(host => fleet.setLinks(host, "accept"));
        setTimeout(() => all.forEach(host => fleet.setLinks(host, "none")), pauseMs);
        const pressing = fleet.press({ forMs, intervalMs: requestIntervalMs });
        this.isDirectoryComplete = true;
        while (performance.now() < untilMs) {
            const listed = await Promise.all(all.map(host => fleet.directory(host)));
            this.isDirectoryComplete &&= listed.every(({ length }) => length === this.hosts);
            await new Promise(resolve => setTimeout(resolve, 100));
        }
        await pressing;
        await fleet.drain();
    },
);

Then(
    "first tries at these hosts later than {int} ms after the cut are served at least two thirds as often as at the others",
    { timeout: 30_000 },
    async function(this: StrandedWorld, afterMs: number) {
        await this.linkedFleet!.drain();
        const later = this.linkedFleet!.answers.filter(({ sentMs }) => sentMs > this.cutMs + afterMs);
        const atCut = later.filter(({ host }) => this.cut.includes(host));
        const elsewhere = later.filter(({ host }) => !this.cut.includes(host));
        const [servedAtCut, served] = [servedShare(atCut), servedShare(elsewhere)];
        assert.ok(atCut.length > 20 && served > 0.9, `${atCut.length} there; of the others ${served} are served`);
        assert.ok(servedAtCut >= served * 2 / 3, `${servedAtCut} of ${atCut.length} there, ${served} elsewhere`);
    },
);

Then("at most 10 + 1 in 50 of all first tries fail there", function(this: StrandedWorld) {
    const later = this.linkedFleet!.answers.filter(({ sentMs }) => sentMs > this.cutMs + 3_000);
    const failed = later.filter(({ host }) => this.cut.includes(host)).filter(answer => !isServed(answer));
    assert.ok(failed.length <= 10 + later.length / 50, `${failed.length} of ${later.length}`);
});

Then("no request that may not be repeated has run twice", function(this: StrandedWorld) {
    const ids = this.linkedFleet!.engines.flatMap(({ requests }) =>
        requests.filter(({ target }) => target.startsWith("/nonIdempotent/")).map(({ headers }) =>
            headers["x-filbertrelay-attempt-id"]
        )
    );
    assert.equal(new Set(ids).size, ids.length);
});

Then(/^no host's directory lists the hosts ([\d, and]+)$/, async function(this: StrandedWorld, hosts: string) {
    const hidden = readIndexes(hosts).map(host => this.linkedFleet!.callerAddress(host));
    for (let host = 0; host < this.hosts; host += 1) {
        const listed = await this.linkedFleet!.directory(host);
        assert.ok(
            listed.length > 0 && !hidden.some(address => listed.includes(address)),
            `host ${host + 1} lists ${listed.join()}`,
        );
    }
});

Then("every host's directory lists all hosts", async function(this: StrandedWorld) {
    for (let host = 0; host < this.hosts; host += 1) {
        await waitFor(async () => (await this.linkedFleet!.directory(host)).length === this.hosts);
    }
});

Then("every host's directory has listed all hosts all the time", function(this: StrandedWorld) {
    assert.ok(this.isDirectoryComplete);
});

Then("every request has an answer within {int} ms", { timeout: 30_000 }, async function(this: StrandedWorld, limitMs: number) {
    await this.linkedFleet!.drain();
    const late = this.linkedFleet!.answers.filter(({ status, elapsedMs }) => status === 0 || elapsedMs > limitMs);
    assert.equal(late.length, 0, JSON.stringify(late.slice(0, 3)));
});

Then("the last {int} requests are served", function(this: StrandedWorld, count: number) {
    const last = this.linkedFleet!.answers.toSorted((left, right) => left.sentMs - right.sentMs).slice(-count);
    const failed = last.filter(answer => !isServed(answer));
    assert.equal(failed.length, 0, JSON.stringify(failed.slice(0, 3)));
});

function isServed({ status, isComplete }: FleetAnswer): boolean {
    return status === 200 && isComplete;
}

function servedShare(answers: readonly FleetAnswer[]): number {
    return answers.filter(isServed).length / Math.max(1, answers.length);
}
