/** Highest era of a store that has never been restored. */
export const firstEra = 1;

/** Terms that an era can have; the era counts first, since a restore of the store undoes terms. */
const termsPerEra = 1_000_000;

/** The number of a holder of the duties; `term` increases within an era of the store. */
export interface DutyTerm {
    readonly era: number;
    readonly term: number;
}

/** Returns a fencing token that is higher than those of all earlier holders, also of holders that a restore has undone. */
export function createFencingToken({ era, term }: DutyTerm): number {
    return era * termsPerEra + term;
}

/** What a host knows when it decides whether to contend for the duty lease; times are monotonic milliseconds. */
export interface ContentionState {
    readonly nowMs: number;
    readonly era: number;
    /** Whether the store has ever been restored, as far as this host knows. */
    readonly isRestored: boolean;
    /** When this host learned of the era. */
    readonly eraKnownMs: number;
    /** The era in which the current lease entry was written; absent without an entry. */
    readonly entryEra?: number;
    /** The last holder's term, as read in this era; absent if there is none. */
    readonly term?: number;
    /** A host that has started or lost the lease does not contend before this time. */
    readonly pausedUntilMs: number;
    readonly leaseMs: number;
    /** Whether this host held the lease when it learned of the restore, so that nobody else can have held it since. */
    readonly isContinuing: boolean;
}

/** Whether a host may contend for the duty lease. */
export function mayContend(state: ContentionState): boolean {
    const { nowMs, era, isRestored, eraKnownMs, entryEra, term, pausedUntilMs, leaseMs, isContinuing } = state;
    if (entryEra !== undefined && entryEra >= era) {
        return false;
    }
    const isLeaseOver = nowMs - eraKnownMs >= leaseMs;
    if (isContinuing && !isLeaseOver) {
        return true;
    }
    // A former holder that can't reach the store does not know of the restore and acts until its lease has run out.
    if (isRestored && !isLeaseOver) {
        return false;
    }
    // Without a term there has never been a holder to wait for, unless a restore has undone it.
    return nowMs >= pausedUntilMs || (term === undefined && !isRestored);
}
