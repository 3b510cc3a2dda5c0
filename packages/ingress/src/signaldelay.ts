import type { Clock } from "@filbertrelay/kernel";

/** How often the event loop is seen to run; what this hides of a delay is small beside a stop time limit. */
const tickMs = 200;
/** Timers call back up to this late by themselves. */
const timerSlackMs = 20;

/** Bounds how long a signal waited for a busy event loop: the time limit of a stop counts from when the signal was sent. */
export class SignalDelay {
    readonly #clock: Clock;
    readonly #afterTurn: (callback: () => void) => void;
    #tickedMs: number;
    /** Time before the last tick in which the loop may have been busy, until the signals of this time have been handled. */
    #busyMs = 0;

    /** `afterTurn` calls back after all input and signals that were pending have been handled. */
    constructor(clock: Clock, afterTurn: (callback: () => void) => void = callback => void setImmediate(callback)) {
        this.#clock = clock;
        this.#afterTurn = afterTurn;
        this.#tickedMs = clock.monotonicMs();
        this.#schedule();
    }

    /** The longest time for which a signal that is handled now may have waited, in milliseconds. */
    boundMs(): number {
        // A busy loop runs its timers before it handles signals, so the last tick may be part of the same delay.
        return this.#clock.monotonicMs() - this.#tickedMs + this.#busyMs;
    }

    #schedule(): void {
        this.#clock.after(tickMs, () => {
            const nowMs = this.#clock.monotonicMs();
            const sinceMs = nowMs - this.#tickedMs;
            this.#busyMs = sinceMs > tickMs + timerSlackMs ? sinceMs : 0;
            this.#afterTurn(() => {
                this.#busyMs = 0;
            });
            this.#tickedMs = nowMs;
            this.#schedule();
        });
    }
}
