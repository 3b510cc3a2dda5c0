import { After, Given, Then, When } from "@cucumber/cucumber";
import { launchFleet } from "@filbertrelay/client";
import type { Fleet } from "@filbertrelay/client";
import { parseAnswers } from "@filbertrelay/configuration";
import { nameOffer, planOrders, planPlacement, planStarts } from "@filbertrelay/policy";
import type { HostOffer, ObservedHost, WantedOrder, WantedStart } from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";

interface PlannerWorld {
    offers: HostOffer[];
    runningHosts: ObservedHost[];
    starts: readonly WantedStart[];
    orders: readonly WantedOrder[];
    plannerFleet?: Fleet;
}

const startTimeoutMs = 60_000;

After(async function(this: PlannerWorld) {
    await this.plannerFleet?.stop();
});

Given(
    "offers in {int} failure domains with reclaimable hosts at {int} and on-demand hosts at {int}",
    function(this: PlannerWorld, domains: number, reclaimable: number, onDemand: number) {
        this.offers = Array.from({ length: domains }, (...[, index]) => `domain-${index + 1}`).flatMap(failureDomain => [
            { failureDomain, hostClass: "engine", purchase: "reclaimable", price: reclaimable, enginesPerHost: 1 },
            { failureDomain, hostClass: "engine", purchase: "onDemand", price: onDemand, enginesPerHost: 1 },
        ]);
    },
);

When(
    "the placement for {int} engines is planned and {int} reclaimable hosts of the first failure domain run",
    function(this: PlannerWorld, requiredEngines: number, count: number) {
        const placement = planPlacement(this.offers, { requiredEngines });
        assert.ok(placement.ok);
        this.runningHosts = Array.from({ length: count }, (...[, index]) => ({
            hostId: `host-${index}`,
            failureDomain: "domain-1",
            hostClass: "engine",
            purchase: "reclaimable" as const,
            isRetained: true,
        }));
        this.starts = planStarts(placement.value, this.runningHosts);
    },
);

Then(
    "the starts complete the placement and the loss of any failure domain leaves {int} engines",
    function(this: PlannerWorld, required: number) {
        const hosts = [...this.runningHosts.map(host => host), ...this.starts.map(start => start.offer)];
        for (const domain of new Set(this.offers.map(offer => offer.failureDomain))) {
            const remaining = hosts.filter(host => host.failureDomain !== domain || host.purchase === "onDemand");
            assert.ok(remaining.length >= required, `${remaining.length} engines remain without ${domain}.`);
        }
        assert.ok(this.starts.every(start => this.offers.some(offer => nameOffer(offer) === nameOffer(start.offer))));
    },
);

When(
    "orders for {int} engines with an old version are planned and {int} of them is loading already",
    function(this: PlannerWorld, count: number, loading: number) {
        const engines = Array.from({ length: count }, (...[, index]) => ({
            endpointId: `engine-${index}`,
            model: "assistant",
            modelVersion: "1",
            adapters: [],
            loading: index < loading,
        }));
        const model = { name: "assistant", version: "2", adapters: [], weightBytes: 1_000 };
        this.orders = planOrders(engines, model, {
            storeBytesPerSecond: 10_000,
            hostBytesPerSecond: 1_000,
            maximumLoadingRatio: 0.34,
        });
    },
);

Then("{int} engine gets an order to load", function(this: PlannerWorld, count: number) {
    assert.equal(this.orders.length, count);
});

Given("a fleet with a planner", async function(this: PlannerWorld) {
    const answers = parseAnswers(readFileSync("examples/chaulage.toml", "utf8"));
    assert.ok(answers.ok);
    this.plannerFleet = await launchFleet({ answers: answers.value, entryHosts: 3, enginesPerModel: 3, instancesPerService: 1 });
});

When(
    "the failure domain {string} loses its engines and the cloud refuses the next {int} starts",
    async function(this: PlannerWorld, failureDomain: string, count: number) {
        assert.ok(this.plannerFleet !== undefined);
        await post(this.plannerFleet.platform.cloud.url, "/control/refusals", { count });
        const engines = [...this.plannerFleet.hosts.values()].filter(host =>
            host.role === "engine" && host.failureDomain === failureDomain
        );
        await Promise.all(engines.map(host => this.plannerFleet?.terminate(host.hostId)));
    },
);

Then(
    "the cloud has started further engine hosts and refused at most {int} starts",
    async function(this: PlannerWorld, refusals: number) {
        const url = this.plannerFleet?.platform.cloud.url ?? "";
        const endMs = performance.now() + startTimeoutMs;
        let counts = await readCounts(url);
        while (counts.started === 0 && performance.now() < endMs) {
            await delay(250);
            counts = await readCounts(url);
        }
        assert.ok(counts.started > 0, "The planner started no host.");
        assert.ok(counts.refused <= refusals, `The cloud refused ${counts.refused} starts.`);
    },
);

async function post(url: string, path: string, body: unknown): Promise<void> {
    const response = await fetch(url + path, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    assert.ok(response.ok, await response.text());
}

async function readCounts(url: string): Promise<{ readonly started: number; readonly refused: number; }> {
    return await (await fetch(`${url}/control/counts`)).json() as { readonly started: number; readonly refused: number; };
}
