/** How a host asks a peer for the changes of the store that it lacks. */
export interface StoreFetch {
    /** Longest changes that the peer is to send, in characters; absent without a limit. */
    readonly maximumCharacters?: number;
    readonly timeoutMs: number;
}

/** Peers are a few milliseconds apart. */
const shortTimeoutMs = 600;
/** Longer than any copy takes on the slowest link. */
const longestTimeoutMs = 9_600;
/** After a read of the store that failed, peers are asked for so long before the store is tried again. */
const storeRetryMs = 2_000;
/** A host's link carries this in a tenth of a second, also if several peers ask for it. */
const shortCharacters = 65_536;

/**
 * Long changes come from the store, whose link doesn't depend on how many hosts ask. A host that has just failed to read it takes them from a peer,
 * however long that takes: each timeout in a row doubles the time that the next call may take.
 */
export function planStoreFetch(
    { sinceReadFailedMs, timeouts }: { readonly sinceReadFailedMs: number; readonly timeouts: number; },
): StoreFetch {
    return sinceReadFailedMs > storeRetryMs ?
        { maximumCharacters: shortCharacters, timeoutMs: shortTimeoutMs } :
        { timeoutMs: longFetchTimeoutMs(timeouts) };
}

/** How long a peer is waited for whose answer may have any length, after a number of timeouts in a row. */
export function longFetchTimeoutMs(timeouts: number): number {
    return Math.min(longestTimeoutMs, 2 * shortTimeoutMs * 2 ** timeouts);
}
