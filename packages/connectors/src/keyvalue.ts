import type { Issue, Outcome } from "@filbertrelay/kernel";

/** One stored value; `version` grows with each write of any key (a store-wide revision). */
export interface StoredValue {
    readonly key: string;
    readonly value: string;
    readonly version: number;
}

/** Why a call to the key-value service failed. After `keyValue.unavailable` a write may or may not have taken effect. */
export interface KeyValueIssue extends Issue {
    readonly code: "keyValue.unavailable" | "keyValue.conflict" | "keyValue.throttled" | "keyValue.tooLarge" | "keyValue.invalid";
}

/** What a call is made for; calls are counted by purpose. */
export type CallPurpose = "configuration" | "shards" | "planner" | "operator";

/** Client of the platform's key-value service; registered in the kernel as `keyValue`. */
export interface KeyValueClient {
    /** Reads a key; returns `undefined` if it does not exist. */
    get(key: string, purpose: CallPurpose): Promise<Outcome<StoredValue | undefined, KeyValueIssue>>;
    /** Lists keys by prefix. */
    list(prefix: string, purpose: CallPurpose): Promise<Outcome<readonly StoredValue[], KeyValueIssue>>;
    /** Writes if the key's version is still `expectedVersion` (0: the key must not exist); returns the new version. */
    compareAndSwap(
        key: string,
        value: string,
        options: { readonly expectedVersion: number; readonly purpose: CallPurpose; readonly leaseId?: string; },
    ): Promise<Outcome<number, KeyValueIssue>>;
    /** Waits until a key under the prefix has a version above `afterVersion`; returns an empty list on timeout. */
    watch(
        prefix: string,
        options: {
            readonly afterVersion: number;
            readonly timeoutMs: number;
            readonly purpose: CallPurpose;
            readonly signal?: AbortSignal;
        },
    ): Promise<Outcome<readonly StoredValue[], KeyValueIssue>>;
    /** Grants a lease for the given time to live; keys written under it are removed when it expires. */
    grantLease(timeToLiveMs: number, purpose: CallPurpose): Promise<Outcome<string, KeyValueIssue>>;
    /** Renews a lease; fails with `conflict` when it has expired. */
    renewLease(leaseId: string, purpose: CallPurpose): Promise<Outcome<undefined, KeyValueIssue>>;
}
