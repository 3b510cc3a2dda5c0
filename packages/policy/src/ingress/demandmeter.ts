import { ReceivedReports } from "./receivedreports.js";
import { SlidingWindow } from "./slidingwindow.js";

/** Measures how many endpoints the work of a service keeps busy. */
export interface DemandMeter {
    /** Notes work that an endpoint takes this long for, counted as if it did nothing else. */
    recordWork(service: string, workMs: number, nowMs: number): void;
    /** Busy endpoints by service, caused by this host's requests; sent to the peers. */
    ownDemand(nowMs: number): Readonly<Record<string, number>>;
    /** Busy endpoints by service of this host and its peers, without other groups; sent to hosts of other groups. */
    groupDemand(nowMs: number): Readonly<Record<string, number>>;
    recordPeerDemand(peer: string, demand: Readonly<Record<string, number>>, nowMs: number): void;
    /** Takes the demand of another group of hosts. */
    recordGroupDemand(group: string, demand: Readonly<Record<string, number>>, nowMs: number): void;
    /** Busy endpoints of a service over all hosts. */
    demand(service: string, nowMs: number): number;
    /** Forgets peers and groups whose demand is part of other reports now. */
    forgetWhere(isOutdated: (name: string) => boolean): void;
}

/** Span over which demand is averaged: requests come in bunches of a few seconds, and an endpoint takes as long to start. */
const defaultSpanMs = 8_000;
/** A host that has begun to count averages over the time since then, but not over less: a single bunch would look like much more. */
const defaultShortestSpanMs = 3_000;
/** Reports of hosts that have ended leave the sum after this time. */
const peerReportLifeMs = 3_000;

/** Options of `createDemandMeter`. */
export interface DemandMeterOptions {
    /** Span over which demand is averaged; 8 s by default. */
    readonly spanMs?: number;
    /** The shortest span over which a host that has begun to count averages; 3 s by default. */
    readonly shortestSpanMs?: number;
}

/** Creates a meter without demand. */
export function createDemandMeter(options: DemandMeterOptions = {}): DemandMeter {
    return new ExchangedDemandMeter(options);
}

type Demand = Readonly<Record<string, number>>;

class ExchangedDemandMeter implements DemandMeter {
    readonly #spanMs: number;
    readonly #shortestSpanMs: number;
    readonly #own = new Map<string, { readonly window: SlidingWindow; readonly startedMs: number; }>();
    readonly #peers = new ReceivedReports<Demand>(peerReportLifeMs);
    readonly #groups = new ReceivedReports<Demand>(peerReportLifeMs);

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
        return Object.fromEntries([...this.#own].map(([service, { window, startedMs }]) => {
            const countedMs = Math.min(this.#spanMs, Math.max(this.#shortestSpanMs, nowMs - startedMs));
            return [service, window.sum(nowMs) / countedMs];
        }));
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
        const groups = this.#groups.live(nowMs).map(({ report }) => report);
        return addDemands([this.groupDemand(nowMs), ...groups])[service] ?? 0;
    }
}

function addDemands(demands: readonly Demand[]): Demand {
    const sum: Record<string, number> = {};
    for (const [service, busy] of demands.flatMap(demand => Object.entries(demand))) {
        sum[service] = (sum[service] ?? 0) + busy;
    }
    return sum;
}
