import type { Issue, Outcome } from "@filbertrelay/kernel";

/** Why a call to the weight store failed; `retryAfterMs` is given with `throttled`. */
export interface WeightStoreIssue extends Issue {
    readonly code: "weightStore.unavailable" | "weightStore.throttled" | "weightStore.notFound" | "weightStore.invalid";
    readonly retryAfterMs?: number;
}

/** Weights of one version of a model. */
export interface WeightDescription {
    readonly model: string;
    readonly version: string;
    readonly bytes: number;
}

/** What the weight store can deliver to all engines together. */
export interface WeightStoreRate {
    readonly bytesPerSecond: number;
    readonly concurrentDownloads: number;
}

/** Client of the weight store; registered in the kernel as `weightStore`. Engines download by themselves. */
export interface WeightStoreClient {
    /** Size of a model version. */
    describe(model: string, version: string): Promise<Outcome<WeightDescription, WeightStoreIssue>>;
    /** The rate limit, by which loads are staggered. */
    readRate(): Promise<Outcome<WeightStoreRate, WeightStoreIssue>>;
}
