import type { UsageLimit } from "@filbertrelay/configuration";
import { SlidingWindow } from "./slidingwindow.js";

/** How many hosts share the limits, and with how many of them (this host included) use is being exchanged. */
export interface FleetReach {
    readonly knownHosts: number;
    readonly reachableHosts: number;
}

/** The answer to a request for a part of a customer's limit. */
export type QuotaDecision = { readonly admitted: true; } | { readonly admitted: false; readonly retryAfterMs: number; };

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
    /** What this host let through within the window, by customer; sent to the peers. */
    ownUse(nowMs: number): Readonly<Record<string, number>>;
    /** Takes what a peer let through within the window. */
    recordPeerUse(peer: string, use: Readonly<Record<string, number>>, nowMs: number): void;
}

/**
 * Part of the tolerance that is handed out. The rest covers what the other hosts let through between two exchanges.
 */
const usedToleranceShare = 0.35;
/** Bounds of the delay that a refused caller is asked to wait. */
const shortestRetryMs = 200;
const longestRetryMs = 2_000;

/** Creates the quota of one host. */
export function createUsageQuota(options: UsageQuotaOptions): UsageQuota {
    return new ExchangedQuota(options);
}

interface PeerUse {
    readonly use: Readonly<Record<string, number>>;
    readonly receivedMs: number;
}

class ExchangedQuota implements UsageQuota {
    readonly #options: UsageQuotaOptions;
    readonly #own = new Map<string, SlidingWindow>();
    readonly #peers = new Map<string, PeerUse>();

    constructor(options: UsageQuotaOptions) {
        this.#options = options;
    }

    tryTake(customer: string, limit: UsageLimit, amount: number, reach: FleetReach, nowMs: number): QuotaDecision {
        const { windowMs, tolerance } = this.#options;
        const whole = limit.perSecond * windowMs / 1_000 + limit.burst + tolerance * usedToleranceShare;
        // Hosts that can't be heard keep their part of the limit.
        const share = Math.min(1, reach.reachableHosts / Math.max(1, reach.knownHosts));
        const used = this.#ownUseOf(customer, nowMs) + this.#unknownUse(limit, reach, nowMs) + this.#peerUseOf(customer, nowMs);
        const excess = used + amount - whole * share;
        if (excess > 0) {
            const retryAfterMs = 1_000 * excess / limit.perSecond;
            return { admitted: false, retryAfterMs: Math.min(longestRetryMs, Math.max(shortestRetryMs, retryAfterMs)) };
        }
        this.#windowOf(customer, nowMs).add(amount, nowMs);
        return { admitted: true };
    }

    giveBack(customer: string, amount: number, takenMs: number, nowMs: number): void {
        this.#own.get(customer)?.remove(amount, takenMs, nowMs);
    }

    ownUse(nowMs: number): Readonly<Record<string, number>> {
        const use: Record<string, number> = {};
        for (const [customer, window] of this.#own) {
            const sum = window.sum(nowMs);
            if (sum > 0) {
                use[customer] = sum;
            }
        }
        return use;
    }

    recordPeerUse(peer: string, use: Readonly<Record<string, number>>, nowMs: number): void {
        this.#peers.set(peer, { use, receivedMs: nowMs });
    }

    #ownUseOf(customer: string, nowMs: number): number {
        return this.#own.get(customer)?.sum(nowMs) ?? 0;
    }

    /** A host that has just started assumes that the limit was used evenly before, since it can't know its former use. */
    #unknownUse(limit: UsageLimit, reach: FleetReach, nowMs: number): number {
        const missingMs = Math.max(0, this.#options.nowMs + this.#options.windowMs - nowMs);
        return limit.perSecond * missingMs / 1_000 / Math.max(1, reach.knownHosts);
    }

    #peerUseOf(customer: string, nowMs: number): number {
        let sum = 0;
        for (const [peer, { use, receivedMs }] of this.#peers) {
            const ageMs = nowMs - receivedMs;
            if (ageMs > this.#options.windowMs) {
                this.#peers.delete(peer);
                continue;
            }
            // The use of a peer that stopped reporting leaves the window as time passes.
            sum += (use[customer] ?? 0) * (1 - ageMs / this.#options.windowMs);
        }
        return sum;
    }

    #windowOf(customer: string, nowMs: number): SlidingWindow {
        const known = this.#own.get(customer);
        if (known !== undefined) {
            return known;
        }
        const created = new SlidingWindow(this.#options.windowMs, nowMs);
        this.#own.set(customer, created);
        return created;
    }
}
