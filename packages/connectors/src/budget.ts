import type { Clock } from "@filbertrelay/kernel";
import type { CallPurpose } from "./keyvalue.js";

/** Whether a call is charged as a read or as a write; a watch is charged as one read. */
export type CallKind = "read" | "write";

/** Calls of one purpose since the process started. */
export interface CallCount {
    readonly purpose: CallPurpose;
    readonly reads: number;
    readonly writes: number;
    /** Calls that were not sent because the budget was used up. */
    readonly refused: number;
}

/** The state of a call budget for `status`. */
export interface CallBudgetReport {
    readonly readsPerSecond: number;
    readonly writesPerSecond: number;
    readonly counts: readonly CallCount[];
}

/** Calls per second that this node may send to the key-value service. */
export interface CallRates {
    readonly readsPerSecond: number;
    readonly writesPerSecond: number;
}

/** Options of `createCallBudget`. */
export interface CallBudgetOptions extends CallRates {
    readonly clock: Clock;
    /** How long a call may wait for its turn before it is refused. */
    readonly maxWaitMs?: number;
}

/** The key-value calls that this node may send; counted by purpose. */
export interface CallBudget {
    /** Takes one call; gives the milliseconds to wait before sending it, or `undefined` when the budget is used up. */
    take(kind: CallKind, purpose: CallPurpose): number | undefined;
    /** Applies other rates, as when the configuration changes. */
    setRates(rates: CallRates): void;
    report(): CallBudgetReport;
}

const defaultMaxWaitMs = 500;

/** Creates a call budget with a burst of one second's calls of each kind. */
export function createCallBudget(options: CallBudgetOptions): CallBudget {
    return new BucketBudget(options);
}

interface MutableCount {
    reads: number;
    writes: number;
    refused: number;
}

class BucketBudget implements CallBudget {
    readonly #maxWaitMs: number;
    readonly #buckets: Record<CallKind, TokenBucket>;
    readonly #counts = new Map<CallPurpose, MutableCount>();

    constructor(options: CallBudgetOptions) {
        this.#maxWaitMs = options.maxWaitMs ?? defaultMaxWaitMs;
        this.#buckets = {
            read: new TokenBucket(options.readsPerSecond, options.clock),
            write: new TokenBucket(options.writesPerSecond, options.clock),
        };
    }

    take(kind: CallKind, purpose: CallPurpose): number | undefined {
        const count = this.#countOf(purpose);
        const waitMs = this.#buckets[kind].reserve(this.#maxWaitMs);
        if (waitMs === undefined) {
            count.refused += 1;
            return undefined;
        }
        count[kind === "read" ? "reads" : "writes"] += 1;
        return waitMs;
    }

    setRates(rates: CallRates): void {
        this.#buckets.read.setRate(rates.readsPerSecond);
        this.#buckets.write.setRate(rates.writesPerSecond);
    }

    report(): CallBudgetReport {
        return {
            readsPerSecond: this.#buckets.read.ratePerSecond,
            writesPerSecond: this.#buckets.write.ratePerSecond,
            counts: [...this.#counts].map(([purpose, count]) => ({ purpose, ...count })),
        };
    }

    #countOf(purpose: CallPurpose): MutableCount {
        const existing = this.#counts.get(purpose);
        if (existing !== undefined) {
            return existing;
        }
        const created = { reads: 0, writes: 0, refused: 0 };
        this.#counts.set(purpose, created);
        return created;
    }
}

/** A token bucket that hands out tokens ahead of time, up to a longest wait. */
class TokenBucket {
    ratePerSecond: number;
    readonly #clock: Clock;
    #tokens: number;
    #refilledMs: number;

    constructor(ratePerSecond: number, clock: Clock) {
        this.ratePerSecond = ratePerSecond;
        this.#clock = clock;
        this.#tokens = ratePerSecond;
        this.#refilledMs = clock.monotonicMs();
    }

    setRate(ratePerSecond: number): void {
        this.#refill();
        this.ratePerSecond = ratePerSecond;
        this.#tokens = Math.min(this.#tokens, ratePerSecond);
    }

    reserve(maxWaitMs: number): number | undefined {
        this.#refill();
        const waitMs = this.#tokens >= 1 ? 0 : (1 - this.#tokens) * 1_000 / this.ratePerSecond;
        if (waitMs > maxWaitMs) {
            return undefined;
        }
        this.#tokens -= 1;
        return waitMs;
    }

    #refill(): void {
        const nowMs = this.#clock.monotonicMs();
        const earned = (nowMs - this.#refilledMs) * this.ratePerSecond / 1_000;
        this.#tokens = Math.min(this.ratePerSecond, this.#tokens + earned);
        this.#refilledMs = nowMs;
    }
}
