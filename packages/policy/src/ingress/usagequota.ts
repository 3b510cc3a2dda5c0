import type { UsageLimit } from "@filbertrelay/configuration";
import { ReceivedReports } from "./receivedreports.js";
import type { ReceivedReport } from "./receivedreports.js";
import { SlidingWindow } from "./slidingwindow.js";

/** Number of hosts that share the limits, and of those (this host included) that exchange usage with this host. */
export interface FleetReach {
    readonly knownHosts: number;
    readonly reachableHosts: number;
}

/** The result of acquiring a part of a customer's limit. */
export type QuotaDecision = { readonly admitted: true; } | { readonly admitted: false; readonly retryAfterMs: number; };

/** Amount admitted for a customer within the last quarter, half, three quarters and whole of the window. */
export type CustomerUsage = readonly number[];

/** Usage admitted by a host or a group of hosts, and the part of the window that it has no counts for. */
export interface QuotaUse {
    /** For each part of the window, the time in it before the host started, summed over the hosts of a group. */
    readonly missingMs: readonly number[];
    readonly customers: Readonly<Record<string, CustomerUsage>>;
}

/** Options of `createUsageQuota`. */
export interface UsageQuotaOptions {
    readonly windowMs: number;
    /** Accepted excess over the limit in one window, over all hosts. */
    readonly tolerance: number;
    readonly nowMs: number;
}

/** Keeps each customer's usage over all hosts within its limit. */
export interface UsageQuota {
    /** Acquires the amount from the customer's limit, unless the limit is exhausted. */
    tryAcquire(customer: string, limit: UsageLimit, amount: number, reach: FleetReach, nowMs: number): QuotaDecision;
    /** Refunds an amount acquired at `acquiredMs` for a request that did not run. */
    refund(customer: string, amount: number, acquiredMs: number, nowMs: number): void;
    /** Usage admitted by this host and by those of the peers that report only to it; sent to the peers. */
    ownUse(nowMs: number, attached?: readonly string[]): QuotaUse;
    /** Usage admitted by this host and its peers, without other groups; sent to hosts of other groups. */
    groupUse(nowMs: number): QuotaUse;
    /** Stores the usage reported by a peer. */
    recordPeerUse(peer: string, use: QuotaUse, nowMs: number): void;
    /** Stores the usage reported for another group of hosts. */
    recordGroupUse(group: string, use: QuotaUse, nowMs: number): void;
    /** Drops reports of peers and groups whose usage is included in other reports after a regrouping. */
    forgetWhere(isOutdated: (name: string) => boolean): void;
}

/**
 * Shares of the burst and of the tolerance that may be admitted above the steady rate. The rest covers what other hosts admit
 * between two exchanges, and the earlier usage that is unknown after all hosts of a fleet were killed.
 */
const usedBurstShare = 0.7;
const usedToleranceShare = 0.25;
/** Share of that headroom that is available while usage from before the host's start may still be within the window. */
const startHeadroomShare = 0;
/** Bounds of the retry delay sent to a refused caller. */
const shortestRetryMs = 200;
const longestRetryMs = 2_000;

/**
 * Fractions of the window over which the limit is enforced as well. Otherwise the headroom could be spent several times within
 * one window when restarted hosts lose their counts.
 */
const spanShares: readonly number[] = [0.25, 0.5, 0.75, 1];
/** Up to this share of the limit a host admits as it likes: what others admit until they hear of it fits into the rest. */
const unsharedPart = 0.6;
/** Rate of a host's credit over its part of the limit; above 1, so that parts that don't add up to the whole leave little unused. */
const creditFactor = 1.1;
/** Usage since a report is extrapolated from its rate for at most this long; a host that is silent for longer has stopped. */
const longestExtrapolationMs = 1_500;

type ReceivedUse = ReceivedReport<QuotaUse>;

/** Creates the quota of one host. */
export function createUsageQuota(options: UsageQuotaOptions): UsageQuota {
    return new DistributedQuota(options);
}

class DistributedQuota implements UsageQuota {
    readonly #options: UsageQuotaOptions;
    readonly #own = new Map<string, readonly SlidingWindow[]>();
    /** Amounts that this host may admit near the limit, by customer. */
    readonly #credits = new Map<string, { readonly amount: number; readonly atMs: number; }>();
    readonly #peers: ReceivedReports<QuotaUse>;
    readonly #groups: ReceivedReports<QuotaUse>;

    constructor(options: UsageQuotaOptions) {
        this.#options = options;
        this.#peers = new ReceivedReports(options.windowMs);
        this.#groups = new ReceivedReports(options.windowMs);
    }

    tryAcquire(customer: string, limit: UsageLimit, amount: number, reach: FleetReach, nowMs: number): QuotaDecision {
        // Unreachable hosts keep their share of the limit.
        const share = Math.min(1, reach.reachableHosts / Math.max(1, reach.knownHosts));
        const headroom = this.#headroom(limit, nowMs);
        const received = [...this.#peers.live(nowMs), ...this.#groups.live(nowMs)];
        const spans = spanShares.map((_, span) => {
            const allowed = (limit.perSecond * this.#spanMs(span) / 1_000 + headroom) * share;
            // Usage from before a host's start is unknown; assume that the host admitted an even share.
            const missingMs = this.#missingMs(received, span, nowMs);
            const unknownUsage = limit.perSecond * missingMs / 1_000 / Math.max(1, reach.knownHosts);
            return { allowed, left: allowed - this.#used(received, customer, span, nowMs) - unknownUsage };
        });
        const left = Math.min(...spans.map(span => span.left));
        if (amount > left) {
            return refuse(amount - left, limit.perSecond);
        }
        if (spans.some(span => span.left - amount < span.allowed * (1 - unsharedPart))) {
            const part = this.#partOf(received, customer, reach, nowMs);
            const perSecond = limit.perSecond * part * share;
            const missing = this.#spendCredit(customer, amount, { most: Math.max(amount, left * part), perSecond }, nowMs);
            if (missing > 0) {
                return refuse(missing, perSecond);
            }
        }
        this.#windowsOf(customer, nowMs).forEach(window => window.add(amount, nowMs));
        return { admitted: true };
    }

    /** This host's part of the customer's usage over all hosts; in a pause of the customer it stays what it was. */
    #partOf(received: readonly ReceivedUse[], customer: string, { knownHosts }: FleetReach, nowMs: number): number {
        const wholeWindow = spanShares.length - 1;
        const own = this.#own.get(customer)?.[wholeWindow]?.sum(nowMs) ?? 0;
        const total = this.#used(received, customer, wholeWindow, nowMs);
        return total === 0 ? 1 : Math.max(own / total, 1 / Math.max(1, knownHosts));
    }

    /**
     * Near the limit a host admits only its part of what is left, since the others admit theirs before they hear of it. A part that is
     * smaller than a request adds up with time. Returns the amount that is missing.
     */
    #spendCredit(
        customer: string,
        amount: number,
        part: { readonly most: number; readonly perSecond: number; },
        nowMs: number,
    ): number {
        const known = this.#credits.get(customer) ?? { amount: part.most, atMs: nowMs };
        const earned = (nowMs - known.atMs) / 1_000 * part.perSecond * creditFactor;
        const credit = Math.min(part.most, known.amount + earned);
        this.#credits.set(customer, { amount: credit >= amount ? credit - amount : credit, atMs: nowMs });
        return Math.max(0, amount - credit);
    }

    refund(customer: string, amount: number, acquiredMs: number, nowMs: number): void {
        this.#own.get(customer)?.forEach(window => window.remove(amount, acquiredMs, nowMs));
        const credit = this.#credits.get(customer);
        if (credit !== undefined) {
            this.#credits.set(customer, { ...credit, amount: credit.amount + amount });
        }
    }

    ownUse(nowMs: number, attached: readonly string[] = []): QuotaUse {
        const names = new Set(attached);
        const received = names.size === 0 ? [] : this.#peers.entries(nowMs).filter(([name]) => names.has(name));
        return this.#summarize(received.map(([, report]) => report), nowMs);
    }

    groupUse(nowMs: number): QuotaUse {
        return this.#summarize(this.#peers.live(nowMs), nowMs);
    }

    recordPeerUse(peer: string, use: QuotaUse, nowMs: number): void {
        this.#peers.record(peer, use, nowMs);
    }

    recordGroupUse(group: string, use: QuotaUse, nowMs: number): void {
        this.#groups.record(group, use, nowMs);
    }

    forgetWhere(isOutdated: (name: string) => boolean): void {
        this.#peers.forgetWhere(isOutdated);
        this.#groups.forgetWhere(isOutdated);
    }

    /** Usage of this host plus the received reports. */
    #summarize(received: readonly ReceivedUse[], nowMs: number): QuotaUse {
        const names = new Set([...this.#own.keys(), ...received.flatMap(({ report }) => Object.keys(report.customers))]);
        const customers: Record<string, CustomerUsage> = {};
        for (const name of names) {
            const usage = spanShares.map((_, span) => this.#used(received, name, span, nowMs));
            if (usage.some(sum => sum > 0)) {
                customers[name] = usage;
            }
        }
        return { missingMs: spanShares.map((_, span) => this.#missingMs(received, span, nowMs)), customers };
    }

    #spanMs(span: number): number {
        return this.#options.windowMs * (spanShares[span] ?? 1);
    }

    #headroom(limit: UsageLimit, nowMs: number): number {
        const headroom = limit.burst * usedBurstShare + this.#options.tolerance * usedToleranceShare;
        return nowMs - this.#options.nowMs < this.#options.windowMs ? headroom * startHeadroomShare : headroom;
    }

    /** Time within a part of the window for which this host and the reporting hosts have no counts. */
    #missingMs(received: readonly ReceivedUse[], span: number, nowMs: number): number {
        const ownMs = Math.max(0, this.#spanMs(span) - (nowMs - this.#options.nowMs));
        return received.reduce(
            (sum, { report, receivedMs }) => sum + Math.max(0, (report.missingMs[span] ?? 0) - (nowMs - receivedMs)),
            ownMs,
        );
    }

    /** Usage of this host and of the received reports, adjusted for the age of each report. */
    #used(received: readonly ReceivedUse[], customer: string, span: number, nowMs: number): number {
        const spanMs = this.#spanMs(span);
        let sum = this.#own.get(customer)?.[span]?.sum(nowMs) ?? 0;
        for (const { report, receivedMs } of received) {
            const ageMs = nowMs - receivedMs;
            const usage = report.customers[customer];
            // Reported usage leaves the window as the report ages; usage since then is extrapolated from the shortest span.
            const rate = (usage?.[0] ?? 0) / this.#spanMs(0);
            const extrapolated = ageMs < longestExtrapolationMs ? rate * ageMs : 0;
            sum += (usage?.[span] ?? 0) * Math.max(0, 1 - ageMs / spanMs) + extrapolated;
        }
        return sum;
    }

    #windowsOf(customer: string, nowMs: number): readonly SlidingWindow[] {
        const known = this.#own.get(customer) ??
            spanShares.map(share => new SlidingWindow(this.#options.windowMs * share, nowMs));
        this.#own.set(customer, known);
        return known;
    }
}

/** Refuses a request until an amount has become available at a rate. */
function refuse(missing: number, perSecond: number): QuotaDecision {
    const retryAfterMs = 1_000 * missing / perSecond;
    return { admitted: false, retryAfterMs: Math.min(longestRetryMs, Math.max(shortestRetryMs, retryAfterMs)) };
}
