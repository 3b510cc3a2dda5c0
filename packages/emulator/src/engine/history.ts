import type { Clock } from "@filbertrelay/kernel";
import { hashText } from "@filbertrelay/policy";
import type { BlockChange } from "./cache.js";

/** A change of an engine's prefix cache. */
export interface EngineCacheEvent extends BlockChange {
    readonly sequence: number;
}

/** An engine's load at one time. */
export interface EngineLoadReport {
    readonly reportedAt: Date;
    readonly runningRequests: number;
    readonly waitingRequests: number;
    /** Prompt tokens of waiting and running requests that are not computed yet. */
    readonly waitingPromptTokens: number;
    /** Prompt tokens per second under the present batch. */
    readonly tokensPerSecond: number;
    readonly batchSlots: number;
}

/** How late and how incomplete an engine's reports are. */
export interface HistoryOptions {
    readonly reportLagMs: number;
    readonly eventLagMs: number;
    readonly eventLoss: number;
}

interface TimedEvent {
    readonly atMs: number;
    readonly event: EngineCacheEvent;
}

/** Events that are kept for readers; older ones are a gap for a reader that is late. */
const keptEvents = 50_000;

/** Events are lost in batches of this many, as when one message is dropped. */
const batchEvents = 64;

/** Sequence numbers skipped at a restart, so that readers see a gap. */
const restartSkip = 1_000_000;

/** Keeps load reports and cache events until they are old enough to be given out. */
export class EngineHistory {
    readonly #clock: Clock;
    readonly #options: HistoryOptions;
    #events: TimedEvent[] = [];
    #loads: EngineLoadReport[] = [];
    #sequence: number;

    constructor(clock: Clock, options: HistoryOptions) {
        this.#clock = clock;
        this.#options = options;
        // Starts from the time, so that an engine that restarts as a new process continues with higher numbers.
        this.#sequence = clock.now().getTime() * 1000;
    }

    recordChange(change: BlockChange): void {
        this.#sequence += 1;
        // The hash of the batch number decides which events are lost, so that every reader misses the same ones.
        const batch = Math.floor(this.#sequence / batchEvents);
        if (hashText(String(batch)) / 4_294_967_296 < this.#options.eventLoss) {
            return;
        }
        this.#events.push({ atMs: this.#clock.monotonicMs(), event: { ...change, sequence: this.#sequence } });
        if (this.#events.length > 2 * keptEvents) {
            this.#events = this.#events.slice(-keptEvents);
        }
    }

    recordLoad(report: EngineLoadReport): void {
        this.#loads.push(report);
        const dueMs = report.reportedAt.getTime() - this.#options.reportLagMs;
        while ((this.#loads[1]?.reportedAt.getTime() ?? Infinity) <= dueMs) {
            this.#loads.shift();
        }
    }

    load(): EngineLoadReport {
        const dueMs = this.#clock.now().getTime() - this.#options.reportLagMs;
        const due = this.#loads.findLast(report => report.reportedAt.getTime() <= dueMs) ?? this.#loads[0];
        if (due === undefined) {
            throw new RangeError("The engine has not recorded a load report.");
        }
        return { ...due, reportedAt: new Date(Math.max(dueMs, due.reportedAt.getTime())) };
    }

    cacheEvents(afterSequence: number): readonly EngineCacheEvent[] {
        const dueMs = this.#clock.monotonicMs() - this.#options.eventLagMs;
        const first = lowerBound(this.#events, ({ event }) => event.sequence > afterSequence);
        const end = lowerBound(this.#events, ({ atMs }) => atMs > dueMs);
        return this.#events.slice(first, end).map(({ event }) => event);
    }

    /** Drops what was not given out yet and skips sequence numbers. */
    restart(): void {
        this.#events = [];
        this.#sequence += restartSkip;
    }
}

/** Index of the first item for which a condition that turns from false to true holds. */
function lowerBound<T>(items: readonly T[], isReached: (item: T) => boolean): number {
    let low = 0;
    let high = items.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        const item = items[middle];
        if (item !== undefined && isReached(item)) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return low;
}
