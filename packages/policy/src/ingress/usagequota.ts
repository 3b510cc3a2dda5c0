import type { UsageLimit } from "@filbertrelay/configuration";
import { ReceivedReports } from "./receivedreports.js";
import type { ReceivedReport } from "./receivedreports.js";
import { SlidingWindow } from "./slidingwindow.js";

/** How many hosts share the limits, and with how many of them (this host included) use is being exchanged. */
export interface FleetReach {
    readonly knownHosts: number;
    readonly reachableHosts: number;
}

/** The answer to a request for a part of a customer's limit. */
export type QuotaDecision = { readonly admitted: true; } | { readonly admitted: false; readonly retryAfterMs: number; };

/** What was let through for a customer within the last quarter, half, three quarters and the whole of the window. */
export type CustomerUsage = readonly number[];

/** What a host, or a group of hosts, let through, and how much of the time it has not been counting. */
export interface QuotaUse {
    /** For each part of the window, the time within it before the start of the host, added up over the hosts of a group. */
    readonly missingMs: readonly number[];
    readonly customers: Readonly<Record<string, CustomerUsage>>;
}

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
    /** What this host and its peers let through, without other groups; sent to hosts of other groups. */
    groupUse(nowMs: number): QuotaUse;
    /** Takes what a peer let through. */
    recordPeerUse(peer: string, use: QuotaUse, nowMs: number): void;
    /** Takes what the hosts of another group let through. */
    recordGroupUse(group: string, use: QuotaUse, nowMs: number): void;
    /** Forgets peers and groups whose use is reported otherwise since the groups were arranged anew. */
    forgetWhere(isOutdated: (name: string) => boolean): void;
}

/**
 * Use above the steady rate that is handed out at any time: a part of the burst and of the tolerance. The rest covers what the
 * other hosts let through between two exchanges, and that a fleet which was killed does not know its former use.
 */
const usedBurstShare = 0.7;
const usedToleranceShare = 0.25;
/** Part of that headroom that a host uses while its former use, or that of the whole fleet, may be within the window. */
const startHeadroomShare = 0;
/** Bounds of the delay that a refused caller is asked to wait. */
const shortestRetryMs = 200;
const longestRetryMs = 2_000;

/**
 * Parts of the window in each of which the limit holds, so that the headroom can't be spent several times before a restart makes
 * the hosts forget it.
 */
const spanShares: readonly number[] = [0.25, 0.5, 0.75, 1];
/** Use since a report is estimated from the rate before it for at most this long; a host that is silent for longer has ended. */
const longestEstimateMs = 1_500;

type ReceivedUse = ReceivedReport<QuotaUse>;

/** Creates the quota of one host. */
export function createUsageQuota(options: UsageQuotaOptions): UsageQuota {
    return new ExchangedQuota(options);
}

class ExchangedQuota implements UsageQuota {
    readonly #options: UsageQuotaOptions;
    readonly #own = new Map<string, readonly SlidingWindow[]>();
    readonly #peers: ReceivedReports<QuotaUse>;
    readonly #groups: ReceivedReports<QuotaUse>;

    constructor(options: UsageQuotaOptions) {
        this.#options = options;
        this.#peers = new ReceivedReports(options.windowMs);
        this.#groups = new ReceivedReports(options.windowMs);
    }

    tryTake(customer: string, limit: UsageLimit, amount: number, reach: FleetReach, nowMs: number): QuotaDecision {
        // Hosts that can't be heard keep their part of the limit.
        const share = Math.min(1, reach.reachableHosts / Math.max(1, reach.knownHosts));
        const headroom = this.#headroom(limit, nowMs);
        const received = [...this.#peers.live(nowMs), ...this.#groups.live(nowMs)];
        const excess = Math.max(...spanShares.map((_, span) => {
            const allowed = (limit.perSecond * this.#spanMs(span) / 1_000 + headroom) * share;
            // A host that has just started took a part in the former use that nobody knows; it is assumed to be an even one.
            const missingMs = this.#missingMs(received, span, nowMs);
            const unknown = limit.perSecond * missingMs / 1_000 / Math.max(1, reach.knownHosts);
            return this.#used(received, customer, span, nowMs) + unknown + amount - allowed;
        }));
        if (excess > 0) {
            const retryAfterMs = 1_000 * excess / limit.perSecond;
            return { admitted: false, retryAfterMs: Math.min(longestRetryMs, Math.max(shortestRetryMs, retryAfterMs)) };
        }
        this.#windowsOf(customer, nowMs).forEach(window => window.add(amount, nowMs));
        return { admitted: true };
    }

    giveBack(customer: string, amount: number, takenMs: number, nowMs: number): void {
        this.#own.get(customer)?.forEach(window => window.remove(amount, takenMs, nowMs));
    }

    ownUse(nowMs: number): QuotaUse {
        return this.#describe([], nowMs);
    }

    groupUse(nowMs: number): QuotaUse {
        return this.#describe(this.#peers.live(nowMs), nowMs);
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

    /** What this host let through together with what was received from others. */
    #describe(received: readonly ReceivedUse[], nowMs: number): QuotaUse {
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

    /** Time within a part of the window that this host and the others have not been counting. */
    #missingMs(received: readonly ReceivedUse[], span: number, nowMs: number): number {
        const ownMs = Math.max(0, this.#spanMs(span) - (nowMs - this.#options.nowMs));
        return received.reduce(
            (sum, { report, receivedMs }) => sum + Math.max(0, (report.missingMs[span] ?? 0) - (nowMs - receivedMs)),
            ownMs,
        );
    }

    /** What this host let through and what the received reports tell of others. */
    #used(received: readonly ReceivedUse[], customer: string, span: number, nowMs: number): number {
        const spanMs = this.#spanMs(span);
        let sum = this.#own.get(customer)?.[span]?.sum(nowMs) ?? 0;
        for (const { report, receivedMs } of received) {
            const ageMs = nowMs - receivedMs;
            const usage = report.customers[customer];
            // Use leaves the window as time passes; until the next report the others go on at the rate of the shortest span.
            const rate = (usage?.[0] ?? 0) / this.#spanMs(0);
            const since = ageMs < longestEstimateMs ? rate * ageMs : 0;
            sum += (usage?.[span] ?? 0) * Math.max(0, 1 - ageMs / spanMs) + since;
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
