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
/** A host's link carries this in a tenth of a second, also if several peers ask for it. */
const shortCharacters = 65_536;

/**
 * Long changes come from the store, whose link doesn't depend on how many hosts ask. A host that can't read it takes them from a peer,
 * however long that takes: each timeout in a row doubles the time that the next call may take.
 */
export function planStoreFetch(
    { isStoreReadable, timeouts }: { readonly isStoreReadable: boolean; readonly timeouts: number; },
): StoreFetch {
    return isStoreReadable ?
        { maximumCharacters: shortCharacters, timeoutMs: shortTimeoutMs } :
        { timeoutMs: Math.min(longestTimeoutMs, 2 * shortTimeoutMs * 2 ** timeouts) };
}
