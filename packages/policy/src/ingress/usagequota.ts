import type { UsageLimit } from "@filbertrelay/configuration";
import { SlidingWindow } from "./slidingwindow.js";

/** How many hosts share the limits, and with how many of them (this host included) use is being exchanged. */
export interface FleetReach {
    readonly knownHosts: number;
    readonly reachableHosts: number;
}

/** The answer to a request for a part of a customer's limit. */
export type QuotaDecision = { readonly admitted: true; } | { readonly admitted: false; readonly retryAfterMs: number; };

/** What was let through for a customer within the whole window and within its last quarter. */
export interface CustomerUsage {
    readonly whole: number;
    readonly short: number;
}

/** Use by customer. */
export type QuotaUse = Readonly<Record<string, CustomerUsage>>;

/** Options of `createUsageQuota`. */
export interface UsageQuotaOptions {
    readonly windowMs: number;
    /** Use above the limit in one window that is still accepted, over all hosts. */
    readonly tolerance: number;
    readonly nowMs: number;
}

/** Keeps each customer's use over all hosts within its limit. */
export interface UsageQuota {
    /** Takes the amount from the customer's limit, unless it is used up. */
    tryTake(customer: string, limit: UsageLimit, amount: number, reach: FleetReach, nowMs: number): QuotaDecision;
    /** Gives back an amount that was taken at a time for a request that has not run. */
    giveBack(customer: string, amount: number, takenMs: number, nowMs: number): void;
    /** What this host let through; sent to the peers. */
    ownUse(nowMs: number): QuotaUse;
    /** Takes what a peer let through. */
    recordPeerUse(peer: string, use: QuotaUse, nowMs: number): void;
}

/**
 * Use above the steady rate that is handed out at any time: a part of the burst and of the tolerance. The rest covers what the
 * other hosts let through between two exchanges, and that a fleet which was killed does not know its former use.
 */
const usedBurstShare = 0.85;
const usedToleranceShare = 0.3;
/** Part of that headroom that a host uses while its former use, or that of the whole fleet, may be within the window. */
const startHeadroomShare = 0.3;
/** The shorter window, as a part of the whole one, that keeps use from being spent at its end and again after a restart. */
const shortWindowShare = 0.25;
/** Bounds of the delay that a refused caller is asked to wait. */
const shortestRetryMs = 200;
const longestRetryMs = 2_000;

type Span = "whole" | "short";
const spans: readonly Span[] = ["whole", "short"];
const spanShares: Readonly<Record<Span, number>> = { whole: 1, short: shortWindowShare };

/** Creates the quota of one host. */
export function createUsageQuota(options: UsageQuotaOptions): UsageQuota {
    return new ExchangedQuota(options);
}

class ExchangedQuota implements UsageQuota {
    readonly #options: UsageQuotaOptions;
    readonly #own = new Map<string, Record<Span, SlidingWindow>>();
    readonly #peers = new Map<string, { readonly use: QuotaUse; readonly receivedMs: number; }>();

    constructor(options: UsageQuotaOptions) {
        this.#options = options;
    }

    tryTake(customer: string, limit: UsageLimit, amount: number, reach: FleetReach, nowMs: number): QuotaDecision {
        // Hosts that can't be heard keep their part of the limit.
        const share = Math.min(1, reach.reachableHosts / Math.max(1, reach.knownHosts));
        const headroom = this.#headroom(limit, nowMs);
        const excess = Math.max(...spans.map(span => {
            const spanMs = this.#options.windowMs * spanShares[span];
            const allowed = (limit.perSecond * spanMs / 1_000 + headroom) * share;
            return this.#used(customer, limit, span, reach, nowMs) + amount - allowed;
        }));
        if (excess > 0) {
            const retryAfterMs = 1_000 * excess / limit.perSecond;
            return { admitted: false, retryAfterMs: Math.min(longestRetryMs, Math.max(shortestRetryMs, retryAfterMs)) };
        }
        const own = this.#windowsOf(customer, nowMs);
        spans.forEach(span => own[span].add(amount, nowMs));
        return { admitted: true };
    }

    giveBack(customer: string, amount: number, takenMs: number, nowMs: number): void {
        spans.forEach(span => this.#own.get(customer)?.[span].remove(amount, takenMs, nowMs));
    }

    ownUse(nowMs: number): QuotaUse {
        const use: Record<string, CustomerUsage> = {};
        for (const [customer, windows] of this.#own) {
            const usage = { whole: windows.whole.sum(nowMs), short: windows.short.sum(nowMs) };
            if (usage.whole > 0) {
                use[customer] = usage;
            }
        }
        return use;
    }

    recordPeerUse(peer: string, use: QuotaUse, nowMs: number): void {
        this.#peers.set(peer, { use, receivedMs: nowMs });
    }

    #headroom(limit: UsageLimit, nowMs: number): number {
        const headroom = limit.burst * usedBurstShare + this.#options.tolerance * usedToleranceShare;
        return nowMs - this.#options.nowMs < this.#options.windowMs ? headroom * startHeadroomShare : headroom;
    }

    #used(customer: string, limit: UsageLimit, span: Span, reach: FleetReach, nowMs: number): number {
        const own = this.#own.get(customer)?.[span].sum(nowMs) ?? 0;
        return own + this.#unknownUse(limit, span, reach, nowMs) + this.#peerUse(customer, span, nowMs);
    }

    /** A host that has just started assumes that the limit was used evenly before, since it can't know its former use. */
    #unknownUse(limit: UsageLimit, span: Span, reach: FleetReach, nowMs: number): number {
        const missingMs = Math.max(0, this.#options.nowMs + this.#options.windowMs * spanShares[span] - nowMs);
        return limit.perSecond * missingMs / 1_000 / Math.max(1, reach.knownHosts);
    }

    #peerUse(customer: string, span: Span, nowMs: number): number {
        const spanMs = this.#options.windowMs * spanShares[span];
        let sum = 0;
        for (const [peer, { use, receivedMs }] of this.#peers) {
            const ageMs = nowMs - receivedMs;
            if (ageMs > this.#options.windowMs) {
                this.#peers.delete(peer);
            }
            // The use of a peer that stopped reporting leaves the window as time passes.
            sum += (use[customer]?.[span] ?? 0) * Math.max(0, 1 - ageMs / spanMs);
        }
        return sum;
    }

    #windowsOf(customer: string, nowMs: number): Record<Span, SlidingWindow> {
        const known = this.#own.get(customer);
        if (known !== undefined) {
            return known;
        }
        const { windowMs } = this.#options;
        const created = {
            whole: new SlidingWindow(windowMs, nowMs),
            short: new SlidingWindow(windowMs * shortWindowShare, nowMs),
        };
        this.#own.set(customer, created);
        return created;
    }
}
