import type { StoreIssue } from "@filbertrelay/connectors";
import type { Clock, EventLog } from "@filbertrelay/kernel";
import { stateEvents as events } from "./event.js";

/**
 * The store counts as unreachable after this long without a response. Longer than a watch whose response is delayed by a second,
 * and shorter than the leases of others' entries.
 */
const unreachableAfterMs = 2_600;
/** Entries that were lost in an outage or a restore of the store are rewritten within two seconds of its end; includes a margin. */
export const rewriteMs = 2_300;
/**
 * Upper bound of the grace period: an endpoint that left must get no requests two seconds after the removal of its entry, even if
 * this host learned of the removal late.
 */
const maxGraceMs = 1_400;

/** Options of `StoreContact`. */
export interface StoreContactOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Whether this host leaves the watch to others, so that it may notice an outage only when it ends. */
    readonly reliesOnPeers: () => boolean;
    /** What the log lines say of the copy. */
    readonly describeCopy: () => { readonly era: number; readonly revision: number; readonly ageMs: number | undefined; };
}

/** Tracks whether the store responds, to this host or to its peers. */
export class StoreContact {
    readonly #options: StoreContactOptions;
    #lastResponseMs = -Infinity;
    #regainedMs = -Infinity;
    #isUnreachable = true;
    #failures = 0;

    constructor(options: StoreContactOptions) {
        this.#options = options;
    }

    /** Failed calls since the last response. */
    get failures(): number {
        return this.#failures;
    }

    /**
     * Grace period for an entry that is removed now: it may have been lost in an outage or a restore, so that it is rewritten. 0 if
     * the store has been reachable for longer.
     */
    removalGraceMs(): number {
        const sinceRegainedMs = this.#options.clock.monotonicMs() - this.#regainedMs;
        return Math.max(0, Math.min(rewriteMs - sinceRegainedMs, maxGraceMs));
    }

    /** Records that the store was restored. */
    recordRestore(): void {
        this.#regainedMs = this.#options.clock.monotonicMs();
    }

    /** Records that the store responded at a time, to this host or to a peer. */
    recordResponse(respondedMs: number): void {
        const { clock, log, reliesOnPeers, describeCopy } = this.#options;
        this.#failures = 0;
        // A standby host may notice an outage only when it ends.
        const wasUnreachable = reliesOnPeers() && respondedMs - this.#lastResponseMs > unreachableAfterMs;
        if ((this.#isUnreachable || wasUnreachable) && clock.monotonicMs() - respondedMs < unreachableAfterMs) {
            this.#isUnreachable = false;
            this.#regainedMs = Math.max(this.#regainedMs, respondedMs);
            log.write(events.storeReachable, describeCopy());
        }
        this.#lastResponseMs = Math.max(this.#lastResponseMs, respondedMs);
    }

    /** Records a call without a usable response. */
    recordIssue(issue: StoreIssue): void {
        const { clock, log, reliesOnPeers, describeCopy } = this.#options;
        this.#failures += 1;
        // One failed or delayed watch does not mean that the store is down. For a standby host, outdated peers confirm the outage.
        if (
            !this.#isUnreachable && (this.#failures > 1 || reliesOnPeers()) &&
            clock.monotonicMs() - this.#lastResponseMs > unreachableAfterMs
        ) {
            this.#isUnreachable = true;
            log.write(events.storeUnreachable, { code: issue.code, message: issue.message, ...describeCopy() });
        }
    }
}
