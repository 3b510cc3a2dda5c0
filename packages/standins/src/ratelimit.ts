/** A token bucket that holds at most one second's tokens. */
export class RateLimit {
    ratePerSecond: number;
    #tokens: number;
    #refilledMs = performance.now();

    constructor(ratePerSecond: number) {
        this.ratePerSecond = ratePerSecond;
        this.#tokens = ratePerSecond;
    }

    setRate(ratePerSecond: number): void {
        this.ratePerSecond = ratePerSecond;
        this.#tokens = ratePerSecond;
    }

    /** Takes one token; false when none is left. */
    take(): boolean {
        const nowMs = performance.now();
        const earned = (nowMs - this.#refilledMs) * this.ratePerSecond / 1_000;
        this.#tokens = Math.min(this.ratePerSecond, this.#tokens + earned);
        this.#refilledMs = nowMs;
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }
}
