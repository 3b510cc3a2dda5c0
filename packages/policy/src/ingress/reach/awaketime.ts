/** A pause between two calls that adds no more than this to the time awake: a process that runs is called more often. */
const longestPauseMs = 200;
/** A longer pause counts as a freeze of the process. */
const freezeMs = 400;
/** After a pause of this length, what is read first may have arrived during it. */
const backlogPauseMs = 100;
/** For so long after a pause. */
const backlogMs = 100;

/** Tells the time for which this process ran from the time for which it was frozen, by the times of the calls alone. */
export class AwakeTime {
    #lastMs = -Infinity;
    #awakeMs = 0;
    #wokeMs = -Infinity;
    /** Begin and end of the last pause in which bytes may have piled up. */
    #pausedMs = -Infinity;
    #resumedMs = -Infinity;

    /** Milliseconds for which this process ran; meaningful as a difference only. */
    get awakeMs(): number {
        return this.#awakeMs;
    }

    advance(nowMs: number): void {
        const pauseMs = nowMs - this.#lastMs;
        if (pauseMs > freezeMs && this.#lastMs !== -Infinity) {
            this.#wokeMs = nowMs;
        }
        if (pauseMs > backlogPauseMs) {
            this.#pausedMs = this.#lastMs;
            this.#resumedMs = nowMs;
        }
        if (pauseMs > 0) {
            this.#awakeMs += Math.min(pauseMs, longestPauseMs);
            this.#lastMs = nowMs;
        }
    }

    /** The earliest time at which bytes that are read now may have arrived. */
    arrivalMs(nowMs: number): number {
        return nowMs - this.#resumedMs < backlogMs ? this.#pausedMs : nowMs;
    }

    /** Whether this process ran again for less than `durationMs` after a freeze. */
    hasJustWoken(durationMs: number, nowMs: number): boolean {
        return nowMs - this.#wokeMs < durationMs;
    }
}
