import { setTimeout as delay } from "node:timers/promises";

/** Cancels a scheduled callback. */
export type Cancel = () => void;

/** A time source, injected so that policy code and tests never read the system clock. */
export interface Clock {
    /** Wall-clock time. */
    now(): Date;
    /** Monotonic time in milliseconds since an arbitrary origin. */
    monotonicMs(): number;
    /** Resolves after the given milliseconds; rejects with the signal's reason if it is aborted. */
    sleep(ms: number, signal?: AbortSignal): Promise<void>;
    /** Schedules a single callback after the given milliseconds. */
    after(ms: number, callback: () => void): Cancel;
    /**
     * Like `after`, but input that has arrived by then is read first. For timers that judge others: a process that was busy finds
     * its timers run out before it reads what came in time.
     */
    afterInput(ms: number, callback: () => void): Cancel;
}

/** Creates a clock that uses the system time and timers. */
export function createSystemClock(): Clock {
    return {
        now: () => new Date(),
        monotonicMs: () => performance.now(),
        sleep: (ms, signal) => delay(ms, undefined, signal === undefined ? {} : { signal }),
        after: (ms, callback) => {
            const timer = setTimeout(callback, ms);
            return () => clearTimeout(timer);
        },
        afterInput: (ms, callback) => {
            let turn: NodeJS.Immediate | undefined;
            const timer = setTimeout(() => turn = setImmediate(callback), ms);
            return () => {
                clearTimeout(timer);
                clearImmediate(turn);
            };
        },
    };
}

interface Timer {
    readonly dueMs: number;
    readonly order: number;
    readonly callback: () => void;
}

/** A clock that advances only on request. */
export interface VirtualClock extends Clock {
    /** Advances by the given milliseconds and runs all callbacks that become due, in order of due time. */
    advance(ms: number): void;
    /** Advances to the next callback and runs it; false if none is scheduled. */
    step(): boolean;
}

/** Creates a virtual clock that starts at the given wall-clock time. */
export function createVirtualClock(start: Date = new Date(0)): VirtualClock {
    return new ManualClock(start);
}

class ManualClock implements VirtualClock {
    #elapsedMs = 0;
    #order = 0;
    readonly #startMs: number;
    readonly #heap: Timer[] = [];
    readonly #cancelled = new Set<Timer>();

    constructor(start: Date) {
        this.#startMs = start.getTime();
    }

    now(): Date {
        return new Date(this.#startMs + this.#elapsedMs);
    }

    monotonicMs(): number {
        return this.#elapsedMs;
    }

    sleep(ms: number, signal?: AbortSignal): Promise<void> {
        return new Promise((resolve, reject) => {
            const abort = (): void => {
                cancel();
                reject(signal?.reason instanceof Error ? signal.reason : new Error("The sleep was aborted."));
            };
            const cancel = this.after(ms, () => {
                signal?.removeEventListener("abort", abort);
                resolve();
            });
            signal?.addEventListener("abort", abort, { once: true });
        });
    }

    after(ms: number, callback: () => void): Cancel {
        const timer = { dueMs: this.#elapsedMs + Math.max(0, ms), order: this.#order++, callback };
        this.#push(timer);
        return () => this.#cancelled.add(timer);
    }

    /** No input waits in virtual time. */
    afterInput(ms: number, callback: () => void): Cancel {
        return this.after(ms, callback);
    }

    advance(ms: number): void {
        const endMs = this.#elapsedMs + ms;
        for (let next = this.#heap[0]; next !== undefined && next.dueMs <= endMs; next = this.#heap[0]) {
            this.step();
        }
        this.#elapsedMs = Math.max(this.#elapsedMs, endMs);
    }

    step(): boolean {
        for (let timer = this.#pop(); timer !== undefined; timer = this.#pop()) {
            if (this.#cancelled.delete(timer)) {
                continue;
            }
            this.#elapsedMs = Math.max(this.#elapsedMs, timer.dueMs);
            timer.callback();
            return true;
        }
        return false;
    }

    #push(timer: Timer): void {
        const heap = this.#heap;
        let index = heap.push(timer) - 1;
        while (index > 0) {
            const parentIndex = (index - 1) >> 1;
            const parent = heap[parentIndex];
            if (parent === undefined || isBefore(parent, timer)) {
                break;
            }
            heap[index] = parent;
            index = parentIndex;
        }
        heap[index] = timer;
    }

    #pop(): Timer | undefined {
        const heap = this.#heap;
        const first = heap[0];
        const last = heap.pop();
        if (first === undefined || last === undefined || heap.length === 0) {
            return first;
        }
        let index = 0;
        for (;;) {
            const leftIndex = 2 * index + 1;
            const left = heap[leftIndex];
            const right = heap[leftIndex + 1];
            if (left === undefined) {
                break;
            }
            const [childIndex, child] = right !== undefined && isBefore(right, left) ? [leftIndex + 1, right] : [leftIndex, left];
            if (isBefore(last, child)) {
                break;
            }
            heap[index] = child;
            index = childIndex;
        }
        heap[index] = last;
        return first;
    }
}

function isBefore(left: Timer, right: Timer): boolean {
    return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);
}
