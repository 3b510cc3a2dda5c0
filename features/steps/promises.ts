import { After, Given, Then, When } from "@cucumber/cucumber";
import { waitFor } from "@filbertrelay/client";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { customers, limitMs, PromiseFleet } from "./promises.fleet.js";

/** World of the scenarios about the invariants. */
export interface PromiseWorld {
    promises: PromiseFleet;
}

/** Steps start processes and wait for whole answers. */
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

/** Waits until the daemons have this many answers in progress. */
export async function waitForStreams(promises: PromiseFleet, count: number): Promise<void> {
    await waitFor(`${count} answers in progress`, async () => {
        const open = await Promise.all(promises.fleet.entryHosts().map(({ hostId }) => openStreams(promises, hostId)));
        return open.reduce((sum, number) => sum + number, 0) >= count ? true : undefined;
    }, { limitMs });
}

async function openStreams(promises: PromiseFleet, hostId: string): Promise<number> {
    return (await promises.status(hostId) as unknown as { openStreams: number; }).openStreams;
}

When("a booking is sent every {int} ms", stepTimeout, async function(this: PromiseWorld, everyMs: number) {
    this.promises.startBookings(everyMs);
    await waitForDone(this.promises, 3);
});

/** Waits until this many further bookings have an answer. */
export async function waitForDone(promises: PromiseFleet, more: number): Promise<void> {
    const count = () => [...promises.sent.values()].filter(sent => sent.answers.length > 0).length;
    const before = count();
    await waitFor(`${more} further answered bookings`, () => count() >= before + more ? true : undefined, { limitMs });
}

When(
    "all reclaimable hosts of {string} are reclaimed with {int} ms of notice",
    stepTimeout,
    async function(this: PromiseWorld, failureDomain: string, noticeMs: number) {
        const hostIds = await this.promises.fleet.reclaim({ failureDomain, noticeMs });
        assert.equal(hostIds.filter(hostId => hostId.startsWith("entry-")).length, 2);
        await waitForEnd(this.promises, hostIds);
    },
);

async function waitForEnd(promises: PromiseFleet, hostIds: readonly string[]): Promise<void> {
    await Promise.all(hostIds.map(hostId => promises.fleet.host(hostId).process.exited));
}

When(
    "{int} questions with answers of {int} tokens are asked at one host",
    stepTimeout,
    async function(this: PromiseWorld, questions: number, tokens: number) {
        this.promises.chosen = "entry-1";
        const first = this.promises.fleet.host("entry-1").callerAddress!;
        for (let index = 0; index < questions; index++) {
            this.promises.ask(index, { tokens, first });
        }
        await waitFor(
            "the answers at the host",
            async () => await openStreams(this.promises, "entry-1") >= questions ? true : undefined,
            { limitMs },
        );
    },
);

When("that host is reclaimed with {int} ms of notice", stepTimeout, async function(this: PromiseWorld, noticeMs: number) {
    const { chosen } = this.promises;
    assert.deepEqual(await this.promises.fleet.reclaim({ hostId: chosen, noticeMs }), [chosen]);
    await waitForEnd(this.promises, [chosen]);
});

When(
    "the engine {string} is reclaimed with {int} ms of notice",
    stepTimeout,
    async function(this: PromiseWorld, engine: string, noticeMs: number) {
        await this.promises.fleet.reclaim({ hostId: engine, noticeMs });
        await waitForEnd(this.promises, [engine]);
    },
);

When("that host gets SIGTERM", stepTimeout, async function(this: PromiseWorld) {
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
    for (const asked of this.promises.asked) {
        assert.equal((await asked.ended).reconnects, 0, asked.name);
    }
});
