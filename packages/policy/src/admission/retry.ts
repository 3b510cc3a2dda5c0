import type { CustomerId } from "@filbertrelay/kernel";

/** Limits retries to a ratio of the first attempts, per customer and service. */
export interface RetryBudget {
    /** Notes a first attempt, which earns a part of a retry. */
    recordAttempt(customer: CustomerId, service: string): void;
    /** Takes one retry from the budget; false when it is used up. */
    tryRetry(customer: CustomerId, service: string): boolean;
    /** Retries that are left for a customer and service. */
    remaining(customer: CustomerId, service: string): number;
}

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
    /** Retries earned per first attempt, such as 0.1. */
    readonly ratio: number;
    /** Upper limit of saved retries; also the number at the start. 3 by default. */
    readonly burst?: number;
}

/** Creates a token bucket per customer and service that is filled by first attempts and not by time. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
    const burst = options.burst ?? 3;
    const buckets = new Map<string, number>();
    const nameBucket = (customer: CustomerId, service: string): string => JSON.stringify([customer, service]);
    const read = (customer: CustomerId, service: string): number => buckets.get(nameBucket(customer, service)) ?? burst;
    return {
        recordAttempt: (customer, service) => {
            buckets.set(nameBucket(customer, service), Math.min(burst, read(customer, service) + options.ratio));
        },
        tryRetry: (customer, service) => {
            const available = read(customer, service);
            // A tolerance keeps ten additions of 0.1 from staying just below one retry.
            if (available < 1 - 1e-9) {
                return false;
            }
            buckets.set(nameBucket(customer, service), available - 1);
            return true;
        },
        remaining: read,
    };
}
