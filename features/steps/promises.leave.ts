import { Then, When } from "@cucumber/cucumber";
import { waitFor } from "@filbertrelay/client";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { limitMs } from "./promises.fleet.js";
import type { PromiseFleet } from "./promises.fleet.js";
import { stepTimeout } from "./promises.js";
import type { PromiseWorld } from "./promises.js";

const checkCount = 20;
const checkPeriodMs = 50;

interface Refusal {
    readonly error: { readonly executed: string; readonly entryPoints?: readonly { readonly hostId: string; }[]; };
}

When("that host's reclaim is announced with {int} ms of notice", async function(this: PromiseWorld, noticeMs: number) {
    const { chosen } = this.promises;
    assert.deepEqual(await this.promises.fleet.reclaim({ hostId: chosen, noticeMs }), [chosen]);
});

When("the host {string} is paused", function(this: PromiseWorld, hostId: string) {
    this.promises.fleet.pause(hostId);
});

When("the host {string} is resumed", function(this: PromiseWorld, hostId: string) {
    this.promises.fleet.resume(hostId);
});

Then("that host refuses every new request and lists other entry points", stepTimeout, async function(this: PromiseWorld) {
    const { promises } = this;
    const { chosen } = promises;
    let number = 0;
    const send = () => promises.bookOnce(chosen, `leave-${promises.seed}-${number++}`);
    const startMs = performance.now();
    await waitFor("the first refusal", async () => (await send()).statusCode === 503 ? true : undefined, { limitMs });
    console.log(`First refusal after ${Math.round(performance.now() - startMs)} ms.`);
    const firstRefusedIndex = number - 1;
    for (let index = 0; index < checkCount; index++) {
        const { statusCode, body } = await send();
        const { error } = JSON.parse(body) as Refusal;
        assert.deepEqual([statusCode, error.executed], [503, "no"], body);
        const others = (error.entryPoints ?? []).map(point => point.hostId);
        assert.ok(others.length > 0 && !others.includes(chosen), body);
        await delay(checkPeriodMs);
    }
    const executions = await promises.fleet.executions();
    for (let refused = firstRefusedIndex; refused < number; refused++) {
        assert.equal(executions.get(`leave-${promises.seed}-${refused}`), undefined);
    }
});

Then("no host lists that host as an entry point any more", stepTimeout, async function(this: PromiseWorld) {
    const { promises } = this;
    const others = promises.fleet.entryHosts().map(({ hostId }) => hostId);
    await Promise.all(others.map(async hostId => {
        await waitFor(
            `'${hostId}' to list only other hosts`,
            async () => await listsLeavingHost(promises, hostId) ? undefined : true,
            { limitMs },
        );
        for (let index = 0; index < checkCount; index++) {
            assert.ok(!await listsLeavingHost(promises, hostId), `The host '${hostId}' lists the leaving host again.`);
            await delay(checkPeriodMs);
        }
    }));
});

// A host that does not respond has terminated and lists nothing.
async function listsLeavingHost(promises: PromiseFleet, hostId: string): Promise<boolean> {
    const response = await promises.get(hostId, "/v1/entry-points", "").catch(() => undefined);
    return response !== undefined && response.body.includes(`"${promises.chosen}"`);
}
