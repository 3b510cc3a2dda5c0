import type { Issue, Outcome } from "@filbertrelay/kernel";

/** Why a call to the weight store failed; `retryAfterMs` may be set with `weightStore.throttled`. */
export interface WeightStoreIssue extends Issue {
    readonly code: "weightStore.unavailable" | "weightStore.throttled" | "weightStore.notFound" | "weightStore.invalid";
    readonly retryAfterMs?: number;
}

/** Size of the weights of one model version. */
export interface WeightDescription {
    readonly model: string;
    readonly version: string;
    readonly bytes: number;
}

/** Rate limits of the weight store for all engines together. */
export interface WeightStoreRate {
    readonly bytesPerSecond: number;
    readonly concurrentDownloads: number;
}

/** Client of the weight store; registered in the kernel as `weightStore`. Engines download the weights themselves. */
export interface WeightStoreClient {
    /** Reads the size of a model version. */
    describe(model: string, version: string): Promise<Outcome<WeightDescription, WeightStoreIssue>>;
    /** Reads the rate limits, by which model loads are staggered. */
    readRate(): Promise<Outcome<WeightStoreRate, WeightStoreIssue>>;
}
