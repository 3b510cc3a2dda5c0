import { After, Given, Then, When } from "@cucumber/cucumber";
import { waitFor } from "@filbertrelay/client";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { customers, limitMs, PromiseFleet } from "./promises.fleet.js";

/** World of the scenarios that test the guarantees. */
export interface PromiseWorld {
    promises: PromiseFleet;
}

/** Long enough for steps that start processes or wait for complete answers. */
export const stepTimeout = { timeout: 120_000 };

After({ tags: "@promises", ...stepTimeout }, async function(this: PromiseWorld) {
    await this.promises?.stop();
});

Given(
    "a fleet with {int} engines and seed {int}",
    stepTimeout,
    async function(this: PromiseWorld, engines: number, seed: number) {
        this.promises = await PromiseFleet.launch(seed, engines);
    },
);

When(
    "{int} customers ask {int} questions each with answers of {int} tokens",
    stepTimeout,
    async function(this: PromiseWorld, count: number, questions: number, tokens: number) {
        for (let index = 0; index < count * questions; index++) {
            this.promises.ask(index, { tokens, customer: customers[index % count]! });
        }
        await waitForStreams(this.promises, count * questions);
    },
);

/** Waits until the daemons have at least this many answers in progress. */
export async function waitForStreams(promises: PromiseFleet, count: number): Promise<void> {
    await waitFor(`${count} answers in progress`, async () => {
        const openCounts = await Promise.all(promises.fleet.entryHosts().map(({ hostId }) => openStreams(promises, hostId)));
        return openCounts.reduce((sum, number) => sum + number, 0) >= count ? true : undefined;
    }, { limitMs });
}

async function openStreams(promises: PromiseFleet, hostId: string): Promise<number> {
    return (await promises.status(hostId) as unknown as { openStreams: number; }).openStreams;
}

When("a booking is sent every {int} ms", stepTimeout, async function(this: PromiseWorld, periodMs: number) {
    this.promises.startBookings(periodMs);
    await waitForBookings(this.promises, 3);
});

/** Waits until this many further bookings have a response. */
export async function waitForBookings(promises: PromiseFleet, more: number): Promise<void> {
    const count = () => [...promises.sent.values()].filter(sent => sent.answers.length > 0).length;
    const before = count();
    await waitFor(`${more} further bookings with a response`, () => count() >= before + more ? true : undefined, { limitMs });
}

When(
    "all reclaimable hosts of {string} are reclaimed with {int} ms of notice",
    stepTimeout,
    async function(this: PromiseWorld, failureDomain: string, noticeMs: number) {
        const hostIds = await this.promises.fleet.reclaim({ failureDomain, noticeMs });
        assert.equal(hostIds.filter(hostId => hostId.startsWith("entry-")).length, 2);
        await waitForExit(this.promises, hostIds);
    },
);

async function waitForExit(promises: PromiseFleet, hostIds: readonly string[]): Promise<void> {
    await Promise.all(hostIds.map(hostId => promises.fleet.host(hostId).process.exited));
}

When(
    "{int} questions with answers of {int} tokens are sent to one host",
    stepTimeout,
    async function(this: PromiseWorld, questions: number, tokens: number) {
        this.promises.chosen = "entry-1";
        const first = this.promises.fleet.host("entry-1").callerAddress!;
        for (let index = 0; index < questions; index++) {
            this.promises.ask(index, { tokens, first });
        }
        await waitFor(
            "the answers in progress at the host",
            async () => await openStreams(this.promises, "entry-1") >= questions ? true : undefined,
            { limitMs },
        );
    },
);

When("that host is reclaimed with {int} ms of notice", stepTimeout, async function(this: PromiseWorld, noticeMs: number) {
    const { chosen } = this.promises;
    assert.deepEqual(await this.promises.fleet.reclaim({ hostId: chosen, noticeMs }), [chosen]);
    await waitForExit(this.promises, [chosen]);
});

When(
    "the engine {string} is reclaimed with {int} ms of notice",
    stepTimeout,
    async function(this: PromiseWorld, engine: string, noticeMs: number) {
        await this.promises.fleet.reclaim({ hostId: engine, noticeMs });
        await waitForExit(this.promises, [engine]);
    },
);

When("that host receives SIGTERM", stepTimeout, async function(this: PromiseWorld) {
    const exit = await this.promises.fleet.stopHost(this.promises.chosen, limitMs);
    assert.equal(exit, 0);
});

When("bookings go on for {int} ms", stepTimeout, async function(this: PromiseWorld, durationMs: number) {
    await delay(durationMs);
});

Then("every caller gets the whole answer to its own question", stepTimeout, async function(this: PromiseWorld) {
    await this.promises.checkAnswers();
});

Then("every booking ran once and has its answer", stepTimeout, async function(this: PromiseWorld) {
    await this.promises.checkKeys();
    assert.deepEqual(Object.keys(this.promises.countOutcomes()), ["done"]);
});

Then("no booking ran twice and every one has a true outcome", stepTimeout, async function(this: PromiseWorld) {
    await this.promises.checkKeys();
    console.log(`Outcomes: ${JSON.stringify(this.promises.countOutcomes())}.`);
});

Then("no answer was interrupted", stepTimeout, async function(this: PromiseWorld) {
    for (const asked of this.promises.modelCalls) {
        assert.equal((await asked.ended).reconnects, 0, asked.name);
    }
});
