import type { Clock } from "@filbertrelay/kernel";
import type { CallPurpose } from "./keyvalue.js";

/** Whether a call is charged as a read or as a write; a watch is charged as one read. */
export type CallKind = "read" | "write";

/** Number of calls for one purpose since the process started. */
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

/** Calls per second that this host may send to the key-value service. */
export interface CallRates {
    readonly readsPerSecond: number;
    readonly writesPerSecond: number;
}

/** Options of `createCallBudget`. */
export interface CallBudgetOptions extends CallRates {
    readonly clock: Clock;
    /** Longest time that a call may be delayed; a call that would wait longer is refused. */
    readonly maxWaitMs?: number;
}

/** Limits the calls of this host to the key-value service and counts them by purpose. */
export interface CallBudget {
    /** Reserves one call; returns the milliseconds to wait before sending it, or `undefined` if the budget is used up. */
    acquire(kind: CallKind, purpose: CallPurpose): number | undefined;
    /** Changes the rates, for example after a change of the configuration. */
    setRates(rates: CallRates): void;
    report(): CallBudgetReport;
}

const defaultMaxWaitMs = 500;

/** Creates a call budget that allows a burst of one second's calls of each kind. */
export function createCallBudget(options: CallBudgetOptions): CallBudget {
    return new TokenBucketBudget(options);
}

interface MutableCount {
    reads: number;
    writes: number;
    refused: number;
}

class TokenBucketBudget implements CallBudget {
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

    acquire(kind: CallKind, purpose: CallPurpose): number | undefined {
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

/** A token bucket from which a token can be reserved before it is available, up to a maximum wait. */
class TokenBucket {
    ratePerSecond: number;
    readonly #clock: Clock;
    #tokens: number;
    #lastRefillMs: number;

    constructor(ratePerSecond: number, clock: Clock) {
        this.ratePerSecond = ratePerSecond;
        this.#clock = clock;
        this.#tokens = ratePerSecond;
        this.#lastRefillMs = clock.monotonicMs();
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
        const added = (nowMs - this.#lastRefillMs) * this.ratePerSecond / 1_000;
        this.#tokens = Math.min(this.ratePerSecond, this.#tokens + added);
        this.#lastRefillMs = nowMs;
    }
}
