import type { EndpointId, HostId } from "@filbertrelay/kernel";
import { rankByRendezvous } from "../rendezvous.js";

/** What endpoints last said of their limits, as sent to other hosts; `null` when an endpoint withdrew its limit. */
export type LimitReport = Readonly<
    Record<string, { readonly perSecond: number | null; readonly ageMs: number; }>
>;

/** Options of `createEndpointLimits`. */
export interface EndpointLimitsOptions {
    readonly hostId: HostId;
    /** The hosts that send requests to endpoints, as far as this one can reach them. */
    readonly listHosts: () => readonly HostId[];
}

/** Limits that endpoints in need name in their answers for the requests of all hosts together. */
export interface EndpointLimits {
    /** Records the limit in an answer, or that it names none; returns whether that changed what was known. */
    recordAnswer(endpointId: EndpointId, perSecond: number | undefined, nowMs: number): boolean;
    /** Whether this host may send a request to the endpoint now. */
    isOpen(endpointId: EndpointId, nowMs: number): boolean;
    recordSend(endpointId: EndpointId, nowMs: number): void;
    forget(endpointId: EndpointId): void;
    /** `undefined` while no endpoint has named a limit recently. */
    report(nowMs: number): LimitReport | undefined;
    /** `elapsedMs` is how long ago the report was written at most; returns whether it was news. */
    merge(report: LimitReport, nowMs: number, elapsedMs: number): boolean;
}

/** A limit that no answer has confirmed for this long no longer holds. */
const limitTtlMs = 15_000;
/** The same in requests that the limit allows, for low limits. */
const limitTtlRequests = 5;
/** Hosts that share a limit, per request a second; each may send one request at once, so more hosts would exceed it together. */
const hostsPerRequest = 2;

interface NamedLimit {
    readonly perSecond: number | undefined;
    readonly namedMs: number;
    /** Requests that this host may send at once, as of `countedMs`. */
    tokens: number;
    countedMs: number;
}

/** Creates a record without limits. */
export function createEndpointLimits(options: EndpointLimitsOptions): EndpointLimits {
    return new SharedEndpointLimits(options);
}

class SharedEndpointLimits implements EndpointLimits {
    readonly #options: EndpointLimitsOptions;
    readonly #limits = new Map<EndpointId, NamedLimit>();

    constructor(options: EndpointLimitsOptions) {
        this.#options = options;
    }

    recordAnswer(endpointId: EndpointId, perSecond: number | undefined, nowMs: number): boolean {
        const known = this.#limits.get(endpointId);
        return (perSecond !== undefined || known !== undefined) && this.#record(endpointId, perSecond, nowMs, nowMs);
    }

    isOpen(endpointId: EndpointId, nowMs: number): boolean {
        const limit = this.#active(endpointId, nowMs);
        return limit === undefined || (this.#refill(endpointId, limit, nowMs) && limit.tokens >= 1);
    }

    recordSend(endpointId: EndpointId, nowMs: number): void {
        const limit = this.#active(endpointId, nowMs);
        if (limit !== undefined) {
            this.#refill(endpointId, limit, nowMs);
            limit.tokens = Math.max(0, limit.tokens - 1);
        }
    }

    forget(endpointId: EndpointId): void {
        this.#limits.delete(endpointId);
    }

    report(nowMs: number): LimitReport | undefined {
        const entries = [...this.#limits].filter(([endpointId, limit]) => {
            const isRecent = nowMs - limit.namedMs <= ttlMs(limit);
            if (!isRecent) {
                this.#limits.delete(endpointId);
            }
            return isRecent;
        });
        return entries.length === 0 ? undefined : Object.fromEntries(entries.map(([endpointId, { perSecond, namedMs }]) => [
            endpointId,
            { perSecond: perSecond ?? null, ageMs: Math.round(nowMs - namedMs) },
        ]));
    }

    merge(report: LimitReport, nowMs: number, elapsedMs: number): boolean {
        let isNews = false;
        for (const [endpointId, { perSecond, ageMs }] of Object.entries(report)) {
            // The earliest possible time, so that an answer doesn't count as later each time it is passed on.
            const namedMs = nowMs - ageMs - elapsedMs;
            isNews = this.#record(endpointId as EndpointId, perSecond ?? undefined, namedMs, nowMs) || isNews;
        }
        return isNews;
    }

    #record(endpointId: EndpointId, perSecond: number | undefined, namedMs: number, nowMs: number): boolean {
        const known = this.#limits.get(endpointId);
        if (known !== undefined && known.namedMs >= namedMs) {
            return false;
        }
        const { tokens, countedMs } = known?.perSecond === undefined ? { tokens: 0, countedMs: nowMs } : known;
        this.#limits.set(endpointId, { perSecond, namedMs, tokens, countedMs });
        return known?.perSecond !== perSecond;
    }

    #active(endpointId: EndpointId, nowMs: number): (NamedLimit & { readonly perSecond: number; }) | undefined {
        const limit = this.#limits.get(endpointId);
        return limit !== undefined && hasLimit(limit) && nowMs - limit.namedMs <= ttlMs(limit) ? limit : undefined;
    }

    /** Adds this host's share since the last time; returns false if it has none. */
    #refill(endpointId: EndpointId, limit: NamedLimit & { readonly perSecond: number; }, nowMs: number): boolean {
        const { hostId, listHosts } = this.#options;
        const sharing = Math.max(1, Math.ceil(limit.perSecond * hostsPerRequest));
        const hosts = rankByRendezvous(endpointId, listHosts(), id => id).slice(0, sharing);
        const perMs = hosts.includes(hostId) ? limit.perSecond / hosts.length / 1_000 : 0;
        limit.tokens = Math.min(1, limit.tokens + (nowMs - limit.countedMs) * perMs);
        limit.countedMs = nowMs;
        return perMs > 0;
    }
}

function hasLimit(limit: NamedLimit): limit is NamedLimit & { readonly perSecond: number; } {
    return limit.perSecond !== undefined;
}

function ttlMs({ perSecond }: NamedLimit): number {
    return Math.max(limitTtlMs, limitTtlRequests * 1_000 / (perSecond ?? Infinity));
}
