import type { CustomerId } from "@filbertrelay/kernel";

/** Limits retries to a fraction of first attempts, per customer and service. */
export interface RetryBudget {
    /** Records a first attempt, which adds `ratio` to the budget. */
    recordAttempt(customer: CustomerId, service: string): void;
    /** Acquires one retry from the budget; false when the budget is exhausted. */
    tryRetry(customer: CustomerId, service: string): boolean;
    /** Remaining retries of a customer and service. */
    remaining(customer: CustomerId, service: string): number;
}

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
    /** Retries added per first attempt, such as 0.1. */
    readonly ratio: number;
    /** Capacity of the bucket, which starts full; 3 by default. */
    readonly burst?: number;
}

/** Creates a token bucket per customer and service that is refilled by first attempts instead of by time. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const burst = options.burst ?? 3;
    const buckets = new Map<string, number>();
    const bucketKey = (customer: CustomerId, service: string): string => JSON.stringify([customer, service]);
    const read = (customer: CustomerId, service: string): number => buckets.get(bucketKey(customer, service)) ?? burst;
    return {
        recordAttempt: (customer, service) => {
            buckets.set(bucketKey(customer, service), Math.min(burst, read(customer, service) + options.ratio));
        },
        tryRetry: (customer, service) => {
            const available = read(customer, service);
            // The tolerance absorbs rounding errors: ten additions of 0.1 sum to slightly less than 1.
            if (available < 1 - 1e-9) {
                return false;
            }
            buckets.set(bucketKey(customer, service), available - 1);
            return true;
        },
        remaining: read,
    };
}
