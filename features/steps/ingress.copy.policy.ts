import { Given, Then, When } from "@cucumber/cucumber";
import { brandAs } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy";
import fc from "fast-check";
import assert from "node:assert/strict";
import { CopySimulation, schedules } from "../support/copysimulation.js";
import type { ScheduleStep } from "../support/copysimulation.js";
import { createRandom } from "../support/random.js";

// A failed property prints this seed with the counterexample.
const seed = 20_261_204;
const longKey = "op/long";

/** Two copies that read the store at the same time; only one of them sees the changes after it. */
interface CopyPolicyWorld {
    copy: policy.StoreCopy;
    earlier: policy.StoreCopy;
}

Then(
    "{int} schedules of changes, watches, listings, reports, pushes, fetches, losses, restores and restarts keep every copy exact",
    (numRuns: number) => {
        fc.assert(fc.property(schedules, steps => new CopySimulation().run(steps)), { numRuns, seed });
    },
);

Then("a host that saw an item change takes back the change from a host that never saw it", () => {
    const [lister, follower, witness] = [0, 1, 2];
    const step = (kind: ScheduleStep["kind"], host = 0, pick = 0, other = 0): ScheduleStep => ({ kind, host, other, pick });
    const loseAll = Array.from({ length: 4 }, () => step("lose"));
    const [ready, leaving] = [0, 2];
    new CopySimulation().run([
        step("write", 0, ready),
        ...[lister, follower, witness].map(host => step("listAtOnce", host)),
        step("write", 0, leaving),
        step("watchAtOnce", witness),
        ...loseAll,
        step("write", 0, ready),
        step("listAtOnce", lister),
        ...loseAll,
        step("meet", lister, 0, follower),
        step("meet", follower, 0, witness),
    ]);
});

Given(
    "a copy of a store with an item of {int} characters and {int} short ones",
    function(this: CopyPolicyWorld, characters: number, short: number) {
        const items = Array.from(
            { length: short },
            (_, index) => ({ key: `servers/${index}`, value: "short", revision: index + 1 }),
        );
        const revision = short + 1;
        items.push({ key: longKey, value: "0".padEnd(characters), revision });
        const create = (): policy.StoreCopy => {
            const copy = new policy.StoreCopy({ onChange: () => "material", historyLimit: 400 });
            copy.applyListed({ era: 0, revision, items });
            return copy;
        };
        [this.copy, this.earlier] = [create(), create()];
    },
);

When("the long item changes {int} times", { timeout: 60_000 }, function(this: CopyPolicyWorld, changes: number) {
    const { revision } = this.copy.position;
    const { length } = this.copy.get(longKey)!.value;
    for (let change = 1; change <= changes; change += 1) {
        const item = { key: longKey, value: String(change).padEnd(length), revision: revision + change };
        this.copy.applyWatched({ era: 0, revision: item.revision }, [item]);
    }
});

Then("what the copy keeps for others has at most {int} characters", function(this: CopyPolicyWorld, limit: number) {
    const { historyStart: revision } = this.copy;
    const update = this.copy.updateSince({ era: 0, revision, materialRevision: revision });
    assert.ok(update.type === "changes");
    const characters = update.changes.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    assert.ok(characters <= limit, `${characters} characters`);
});

Then("a copy from before these changes gets the newest version of it", function(this: CopyPolicyWorld) {
    assert.equal(this.earlier.applyUpdate(this.copy.updateSince(this.earlier.position)), "applied");
    assert.equal(this.earlier.get(longKey)?.value, this.copy.get(longKey)?.value);
});

Then(
    "in {int} exchanges with random delays and restarts no message counts as written later than it was",
    (exchanges: number) => {
        const random = createRandom(seed);
        let nowMs = 1_000;
        let startedMs = 0;
        const caller = new policy.MessageTimes("caller");
        let callee = new policy.MessageTimes("callee 0");
        let bounded = 0;
        const offsetMs = 700_000;
        for (let count = 0; count < exchanges; count += 1) {
            const writtenMs = nowMs;
            const request = caller.describe("callee", nowMs + offsetMs);
            nowMs += random() * 5_000;
            const bound = callee.receive("caller", request, nowMs - startedMs);
            const reply = callee.describe("caller", nowMs - startedMs);
            nowMs += random() * 5_000;
            caller.receive("callee", reply, nowMs + offsetMs);
            nowMs += random() * 500;
            assert.ok(bound === undefined || bound + startedMs <= writtenMs, `${bound} ms for a message of ${writtenMs} ms`);
            bounded += bound === undefined ? 0 : 1;
            if (random() < 0.05) {
                startedMs = nowMs;
                callee = new policy.MessageTimes(`callee ${count}`);
            }
        }
        assert.ok(bounded > exchanges * 0.8, `Only ${bounded} of ${exchanges} messages had a bound.`);
    },
);

Then("the first {int} watching hosts of random fleets stand in as many failure domains as possible", (count: number) => {
    const fleet = fc.array(fc.record({ host: fc.nat(500), domain: fc.nat(4) }), { minLength: 1, maxLength: 80 });
    fc.assert(
        fc.property(fleet, drawn => {
            const hosts = [...new Map(drawn.map(({ host, domain }) => [host, domain]))].map(([host, domain]) => ({
                hostId: brandAs<HostId>(`edge-${host}`),
                failureDomain: brandAs<FailureDomainId>(`domain-${domain}`),
            }));
            const domainOf = new Map(hosts.map(({ hostId, failureDomain }) => [hostId, failureDomain]));
            const ranked = policy.rankWatchers(hosts);
            assert.deepEqual([...ranked].sort(), [...domainOf.keys()].sort());
            const domains = new Set(ranked.slice(0, count).map(hostId => domainOf.get(hostId)));
            assert.equal(domains.size, Math.min(count, new Set(domainOf.values()).size));
        }),
        { numRuns: 200, seed },
    );
});
