import { ReceivedReports } from "./receivedreports.js";
import { SlidingWindow } from "./slidingwindow.js";

/** Measures demand per service as the number of endpoints that its requests keep busy. */
export interface DemandMeter {
    /** Records work by the time that an otherwise idle endpoint needs for it. */
    recordWork(service: string, workMs: number, nowMs: number): void;
    /** Busy endpoints by service from this host's requests; sent to the peers. */
    ownDemand(nowMs: number): Readonly<Record<string, number>>;
    /** Busy endpoints by service of this host and its peers, without other groups; sent to hosts of other groups. */
    groupDemand(nowMs: number): Readonly<Record<string, number>>;
    recordPeerDemand(peer: string, demand: Readonly<Record<string, number>>, nowMs: number): void;
    /** Stores the demand reported for another group of hosts. */
    recordGroupDemand(group: string, demand: Readonly<Record<string, number>>, nowMs: number): void;
    /** Busy endpoints of a service over all hosts. */
    demand(service: string, nowMs: number): number;
    /** Drops reports of peers and groups whose demand is included in other reports after a regrouping. */
    forgetWhere(isOutdated: (name: string) => boolean): void;
}

/** Span over which demand is averaged: bursts last a few seconds, and an endpoint takes as long to start. */
const defaultSpanMs = 8_000;
/** A host that just started counting averages over the time since then, but at least over this span, so that one burst is not overestimated. */
const defaultShortestSpanMs = 3_000;
/** Reports of stopped hosts are excluded from the sum after this time. */
const peerReportTtlMs = 3_000;

/** Options of `createDemandMeter`. */
export interface DemandMeterOptions {
    /** Span over which demand is averaged; 8 s by default. */
    readonly spanMs?: number;
    /** Shortest span over which a host that just started counting averages; 3 s by default. */
    readonly shortestSpanMs?: number;
}

/** Creates a meter without demand. */
export function createDemandMeter(options: DemandMeterOptions = {}): DemandMeter {
    return new DistributedDemandMeter(options);
}

type Demand = Readonly<Record<string, number>>;

class DistributedDemandMeter implements DemandMeter {
    readonly #spanMs: number;
    readonly #shortestSpanMs: number;
    readonly #own = new Map<string, { readonly window: SlidingWindow; readonly startedMs: number; }>();
    readonly #peers = new ReceivedReports<Demand>(peerReportTtlMs);
    readonly #groups = new ReceivedReports<Demand>(peerReportTtlMs);

    constructor({ spanMs = defaultSpanMs, shortestSpanMs = defaultShortestSpanMs }: DemandMeterOptions) {
        this.#spanMs = spanMs;
        this.#shortestSpanMs = shortestSpanMs;
    }

    recordWork(service: string, workMs: number, nowMs: number): void {
        const own = this.#own.get(service) ?? { window: new SlidingWindow(this.#spanMs, nowMs), startedMs: nowMs };
        this.#own.set(service, own);
        own.window.add(workMs, nowMs);
    }

    ownDemand(nowMs: number): Demand {
        return Object.fromEntries([...this.#own.keys()].map(service => [service, this.#ownDemandOf(service, nowMs)]));
    }

    groupDemand(nowMs: number): Demand {
        return addDemands([this.ownDemand(nowMs), ...this.#peers.live(nowMs).map(({ report }) => report)]);
    }

    recordPeerDemand(peer: string, demand: Demand, nowMs: number): void {
        this.#peers.record(peer, demand, nowMs);
    }

    recordGroupDemand(group: string, demand: Demand, nowMs: number): void {
        this.#groups.record(group, demand, nowMs);
    }

    forgetWhere(isOutdated: (name: string) => boolean): void {
        this.#peers.forgetWhere(isOutdated);
        this.#groups.forgetWhere(isOutdated);
    }

    demand(service: string, nowMs: number): number {
        const received = [...this.#peers.live(nowMs), ...this.#groups.live(nowMs)];
        return received.reduce((sum, { report }) => sum + (report[service] ?? 0), this.#ownDemandOf(service, nowMs));
    }

    #ownDemandOf(service: string, nowMs: number): number {
        const own = this.#own.get(service);
        if (own === undefined) {
            return 0;
        }
        const countedMs = Math.min(this.#spanMs, Math.max(this.#shortestSpanMs, nowMs - own.startedMs));
        return own.window.sum(nowMs) / countedMs;
    }
}

function addDemands(demands: readonly Demand[]): Demand {
    const sum: Record<string, number> = {};
    for (const [service, busy] of demands.flatMap(demand => Object.entries(demand))) {
        sum[service] = (sum[service] ?? 0) + busy;
    }
    return sum;
}
