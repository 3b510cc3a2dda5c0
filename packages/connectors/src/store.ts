import type { Issue, Outcome, TransferProgress } from "@filbertrelay/kernel";

/**
 * A point in the history of the store. A restore from an older copy begins a new era, in which revisions are given out again, so
 * positions are compared by era first.
 */
export interface StorePosition {
    readonly era: number;
    readonly revision: number;
}

/** A lease; its id means nothing in a later era, in which it may belong to somebody else. */
export interface StoreLease {
    readonly leaseId: number;
    readonly era: number;
}

/** One stored item; `revision` is the store-wide number of its last change. */
export interface StoreItem {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
}

/** A change of one key; `value` is absent when the key was removed. */
export interface StoreChange {
    readonly key: string;
    readonly revision: number;
    readonly value?: string;
}

/** Why a call to the store failed. After `store.unavailable` a change may or may not have taken effect. */
export interface StoreIssue extends Issue {
    readonly code:
        | "store.unavailable"
        | "store.conflict"
        | "store.refused"
        | "store.leaseGone"
        | "store.historyGone"
        | "store.restored"
        /** The caller did not want the rest of the response. */
        | "store.abandoned"
        | "store.invalid";
}

/** A conditional change of several keys: all or nothing. */
export interface StoreCommit {
    /** Era in which the expected revisions were read and the leases granted; the change fails in a later one. */
    readonly era: number;
    /** Revisions that the keys must have; 0 means that the key must not exist. */
    readonly expected: readonly { readonly key: string; readonly revision: number; }[];
    readonly writes: readonly { readonly key: string; readonly value: string; readonly leaseId?: number; }[];
    readonly removals?: readonly string[];
}

/** Options of a watch. */
export interface StoreWatch {
    readonly after: StorePosition;
    /** How long the store may wait for a change, in milliseconds. */
    readonly waitMs: number;
    readonly signal?: AbortSignal;
    /** Asked as the response arrives; false gives up the rest of it, and the watch ends with `store.abandoned`. */
    readonly isWorthwhile?: (progress: TransferProgress) => boolean;
}

/**
 * Client of a store with revisions, watches and leases; registered in the kernel as `store`. Responses from before the latest known
 * restore count as `store.unavailable`.
 */
export interface Store {
    /** The newest era that a response has named; 0 before the first one, and for a store without restores. */
    readonly era: number;
    /** Registers a listener for each new era. */
    onEra(listener: (era: number) => void): void;
    /** Reads a key; returns `undefined` if it does not exist. */
    get(key: string): Promise<Outcome<StoreItem | undefined, StoreIssue>>;
    /** Lists the items under a prefix as they were at one position. */
    list(prefix: string): Promise<Outcome<StorePosition & { readonly items: readonly StoreItem[]; }, StoreIssue>>;
    /** Waits for changes under a prefix after a position; returns no changes on timeout, and `store.restored` in a later era. */
    watch(
        prefix: string,
        options: StoreWatch,
    ): Promise<Outcome<StorePosition & { readonly changes: readonly StoreChange[]; }, StoreIssue>>;
    /** Makes a conditional change; returns the new revision. */
    commit(change: StoreCommit): Promise<Outcome<number, StoreIssue>>;
    /** Grants a lease; keys written under it are removed when it expires. */
    grantLease(timeToLiveMs: number): Promise<Outcome<StoreLease, StoreIssue>>;
    /** Renews a lease; fails with `store.leaseGone` when it has expired, and in a later era. */
    renewLease(lease: StoreLease): Promise<Outcome<undefined, StoreIssue>>;
    /** Ends a lease and removes its keys; a lease of an earlier era has ended already. */
    endLease(lease: StoreLease): Promise<Outcome<undefined, StoreIssue>>;
}
