import { createStartBackoff, nameOffer, planPlacement, scheduleLoads } from "@filbertrelay/policy";
import type { HostOffer, PlacedHosts } from "@filbertrelay/policy";
import { createRandom } from "../random.js";
import type { Random } from "../random.js";
import { formatTable } from "../table.js";

/** How hosts are chosen. */
export type PlannerStrategy = "onDemand" | "cheapest" | "plan";

/** What a strategy cost over the simulated time. */
export interface PlannerMeasurement {
    readonly strategy: PlannerStrategy;
    /** Mean price per hour in thousandths of a cent. */
    readonly price: number;
    /** Part of the time with fewer engines than required. */
    readonly shortShare: number;
    /** Engine hours missing. */
    readonly missingHours: number;
    readonly refusedStarts: number;
}

interface Deployment {
    readonly name: string;
    readonly requiredEngines: number;
    readonly failureDomains: readonly string[];
}

const deployments: readonly Deployment[] = [
    { name: "chaulage", requiredEngines: 6, failureDomains: ["st-jerome", "mont-tremblant", "ste-agathe"] },
    { name: "salal", requiredEngines: 12, failureDomains: ["coast-a", "coast-b", "coast-c"] },
];

const days = 30;
const stepsPerDay = 24 * 60;
/** Mean time between reclaim waves over all failure domains, and how long starts are refused after one, in minutes. */
const waveEveryMinutes = 6 * 60;
const refusedMinutes = 45;
/** Time from a start until the engine serves, with boot and weights, in minutes. */
const startMinutes = 4;

/** Offers with prices that differ by failure domain, host class and way of renting; a large host carries two engines. */
export function listOffers(failureDomains: readonly string[]): readonly HostOffer[] {
    return failureDomains.flatMap((failureDomain, index) => {
        const factor = [1, 1.15, 1.3][index] ?? 1;
        const small = { failureDomain, hostClass: "small", enginesPerHost: 1 };
        const large = { failureDomain, hostClass: "large", enginesPerHost: 2 };
        return [
            { ...small, purchase: "reclaimable" as const, price: 30_000 * factor },
            { ...small, purchase: "onDemand" as const, price: 90_000 * factor },
            { ...large, purchase: "reclaimable" as const, price: 56_000 * factor },
            { ...large, purchase: "onDemand" as const, price: 172_000 * factor },
        ];
    });
}

/** Simulates 30 days of reclaim waves with replanning after each. */
export function measurePlanner(deployment: Deployment, strategy: PlannerStrategy, seed: number): PlannerMeasurement {
    return new PlannerRun(deployment, strategy, createRandom(seed)).complete();
}

class PlannerRun {
    readonly #deployment: Deployment;
    readonly #strategy: PlannerStrategy;
    readonly #random: Random;
    readonly #offers: readonly HostOffer[];
    readonly #backoff = createStartBackoff();
    readonly #running = new Map<string, number>();
    readonly #refusedUntil = new Map<string, number>();
    #starting: { readonly offer: HostOffer; readonly readyAt: number; }[] = [];
    #refusedStarts = 0;

    constructor(deployment: Deployment, strategy: PlannerStrategy, random: Random) {
        this.#deployment = deployment;
        this.#strategy = strategy;
        this.#random = random;
        this.#offers = listOffers(deployment.failureDomains);
        this.#plan(new Set()).forEach(({ offer, hosts }) => this.#running.set(nameOffer(offer), hosts));
    }

    complete(): PlannerMeasurement {
        let price = 0;
        let short = 0;
        let missing = 0;
        const minutes = days * stepsPerDay;
        for (let minute = 0; minute < minutes; minute += 1) {
            this.#finishStarts(minute);
            if (this.#random.unit() < 1 / waveEveryMinutes) {
                this.#reclaim(this.#random.pick(this.#deployment.failureDomains), minute);
            }
            this.#reconcile(minute);
            price += this.#sum(offer => offer.price) / 60;
            const lacking = this.#deployment.requiredEngines - this.#sum(offer => offer.enginesPerHost);
            short += lacking > 0 ? 1 : 0;
            missing += Math.max(0, lacking) / 60;
        }
        return {
            strategy: this.#strategy,
            price: price / (minutes / 60),
            shortShare: short / minutes,
            missingHours: missing,
            refusedStarts: this.#refusedStarts,
        };
    }

    #plan(excludedOffers: ReadonlySet<string>): readonly PlacedHosts[] {
        const offers = this.#strategy === "onDemand" ?
            this.#offers.filter(({ purchase }) => purchase === "onDemand") :
            this.#offers;
        const { requiredEngines } = this.#deployment;
        const placement = planPlacement(offers, {
            requiredEngines,
            excludedOffers,
            ignoreFailureDomains: this.#strategy === "cheapest",
        });
        return placement.ok ? placement.value.placed : [];
    }

    #sum(value: (offer: HostOffer) => number): number {
        return this.#offers.reduce((sum, offer) => sum + value(offer) * (this.#running.get(nameOffer(offer)) ?? 0), 0);
    }

    #reclaim(failureDomain: string, minute: number): void {
        for (const offer of this.#offers) {
            if (offer.failureDomain === failureDomain && offer.purchase === "reclaimable") {
                this.#running.delete(nameOffer(offer));
                this.#refusedUntil.set(nameOffer(offer), minute + refusedMinutes);
            }
        }
        this.#starting = this.#starting.filter(({ offer }) =>
            offer.failureDomain !== failureDomain || offer.purchase !== "reclaimable"
        );
    }

    #finishStarts(minute: number): void {
        for (const { offer } of this.#starting.filter(({ readyAt }) => readyAt <= minute)) {
            this.#running.set(nameOffer(offer), (this.#running.get(nameOffer(offer)) ?? 0) + 1);
        }
        this.#starting = this.#starting.filter(({ readyAt }) => readyAt > minute);
    }

    /** Starts what the plan lacks; stops what it doesn't name once everything it names is running. */
    #reconcile(minute: number): void {
        const wanted = this.#plan(this.#backoff.excluded(minute * 60_000));
        let complete = true;
        for (const { offer, hosts } of wanted) {
            const name = nameOffer(offer);
            const starting = this.#starting.filter(entry => entry.offer === offer).length;
            const lacking = hosts - (this.#running.get(name) ?? 0);
            complete &&= lacking <= 0;
            for (let count = lacking - starting; count > 0 && this.#start(offer, minute); count -= 1) {
                // Starts until one is refused.
            }
        }
        if (complete) {
            const hosts = new Map(wanted.map(entry => [nameOffer(entry.offer), entry.hosts]));
            this.#offers.forEach(offer => this.#running.set(nameOffer(offer), hosts.get(nameOffer(offer)) ?? 0));
        }
    }

    #start(offer: HostOffer, minute: number): boolean {
        if ((this.#refusedUntil.get(nameOffer(offer)) ?? 0) > minute) {
            this.#refusedStarts += 1;
            this.#backoff.recordRefusal(nameOffer(offer), minute * 60_000);
            return false;
        }
        this.#backoff.recordStart(nameOffer(offer));
        this.#starting.push({ offer, readyAt: minute + startMinutes });
        return true;
    }
}

/** Compares the strategies and staggered loads, and renders tables. */
export function runPlanner(seed: number): string {
    const placements = deployments.map(deployment => {
        const rows = (["onDemand", "cheapest", "plan"] as const).map(strategy => measurePlanner(deployment, strategy, seed));
        const base = rows[0]?.price ?? 1;
        const table = formatTable([
            ["strategy", "price per hour", "of all on-demand", "time short %", "engine hours missing", "refused starts"],
            ...rows.map(
                row => [row.strategy, row.price, row.price / base, 100 * row.shortShare, row.missingHours, row.refusedStarts],
            ),
        ]);
        return `${deployment.name}: ${deployment.requiredEngines} engines required, ${days} days, a wave every ${
            waveEveryMinutes / 60
        } hours\n\n${table}`;
    });
    return [...placements, renderLoads()].join("\n\n");
}

/** Four hosts load 16 GB each from a store of 2 GB/s at up to 1 GB/s per host. */
function renderLoads(): string {
    const loads = ["a", "b", "c", "d"].map(hostId => ({ hostId, weightBytes: 16e9, priority: 0 }));
    const options = { storeBytesPerSecond: 2e9, hostBytesPerSecond: 1e9, nowMs: 0 };
    const scheduled = scheduleLoads(loads, options);
    const rows = scheduled.map(load => [load.hostId, load.startMs / 1000, load.endMs / 1000]);
    return `Loads of 16 GB, store 2 GB/s, host 1 GB/s\n\n${formatTable([["host", "start s", "end s"], ...rows])}`;
}
