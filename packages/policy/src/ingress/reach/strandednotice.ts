/** The links have to be steady for this long before a host says that it is no longer cut off. */
const shortestHoldMs = 1_500;
/** Links that fail again and again have to be steady for longer. */
const longestHoldMs = 6_000;
/** A cut so soon after the links were back doubles the time. */
const flapMs = 10_000;

/** Whether a host says that it is cut off: at once, and for a while after its links are back. */
export class StrandedNotice {
    #isStranded = false;
    #isCut = false;
    #steadySinceMs = -Infinity;
    #holdMs = shortestHoldMs;

    get isStranded(): boolean {
        return this.#isStranded;
    }

    update(isCut: boolean, nowMs: number): void {
        if (isCut && !this.#isCut) {
            if (!this.#isStranded) {
                const isFlapping = nowMs - this.#steadySinceMs <= flapMs;
                this.#holdMs = isFlapping ? Math.min(longestHoldMs, this.#holdMs * 2) : shortestHoldMs;
            }
            this.#isStranded = true;
        }
        if (!isCut && this.#isCut) {
            this.#steadySinceMs = nowMs;
        }
        this.#isCut = isCut;
        if (!isCut && nowMs - this.#steadySinceMs >= this.#holdMs) {
            this.#isStranded = false;
        }
    }
}
