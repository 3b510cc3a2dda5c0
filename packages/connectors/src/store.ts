import type { Issue, Outcome } from "@filbertrelay/kernel";

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
        | "store.invalid";
}

/** A conditional change of several keys: all or nothing. */
export interface StoreCommit {
    /** Revisions that the keys must have; 0 means that the key must not exist. */
    readonly expected: readonly { readonly key: string; readonly revision: number; }[];
    readonly writes: readonly { readonly key: string; readonly value: string; readonly leaseId?: number; }[];
    readonly removals?: readonly string[];
}

/** Client of a store with revisions, watches and leases; registered in the kernel as `store`. */
export interface Store {
    /** Reads a key; returns `undefined` if it does not exist. */
    get(key: string): Promise<Outcome<StoreItem | undefined, StoreIssue>>;
    /** Lists the items under a prefix as they were at one revision. */
    list(prefix: string): Promise<Outcome<{ readonly items: readonly StoreItem[]; readonly revision: number; }, StoreIssue>>;
    /** Waits for changes under a prefix after a revision; returns no changes on timeout. */
    watch(
        prefix: string,
        options: { readonly afterRevision: number; readonly waitMs: number; readonly signal?: AbortSignal; },
    ): Promise<Outcome<{ readonly changes: readonly StoreChange[]; readonly revision: number; }, StoreIssue>>;
    /** Makes a conditional change; returns the new revision. */
    commit(change: StoreCommit): Promise<Outcome<number, StoreIssue>>;
    /** Grants a lease; keys written under it are removed when it expires. */
    grantLease(timeToLiveMs: number): Promise<Outcome<number, StoreIssue>>;
    /** Renews a lease; fails with `store.leaseGone` when it has expired. */
    renewLease(leaseId: number): Promise<Outcome<undefined, StoreIssue>>;
    /** Ends a lease and removes its keys. */
    endLease(leaseId: number): Promise<Outcome<undefined, StoreIssue>>;
}
