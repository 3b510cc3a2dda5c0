/** A sliding-window sum over a fixed number of time buckets. */
export class SlidingWindow {
    readonly #bucketMs: number;
    readonly #amounts: Float64Array;
    #lastBucket: number;
    #sum = 0;

    /** The sum covers `windowMs` plus up to one bucket, so that a limit on it holds for every span of `windowMs`. */
    constructor(windowMs: number, nowMs: number, bucketCount = 40) {
        this.#bucketMs = windowMs / bucketCount;
        this.#amounts = new Float64Array(bucketCount + 1);
        this.#lastBucket = Math.floor(nowMs / this.#bucketMs);
    }

    add(amount: number, nowMs: number): void {
        this.#advance(nowMs);
        const index = this.#lastBucket % this.#amounts.length;
        this.#amounts[index] = (this.#amounts[index] ?? 0) + amount;
        this.#sum += amount;
    }

    /** Subtracts an amount added at `addedMs`, if that time is still within the window. */
    remove(amount: number, addedMs: number, nowMs: number): void {
        this.#advance(nowMs);
        const bucket = Math.floor(addedMs / this.#bucketMs);
        if (bucket > this.#lastBucket - this.#amounts.length) {
            const index = bucket % this.#amounts.length;
            const removed = Math.min(amount, this.#amounts[index] ?? 0);
            this.#amounts[index] = (this.#amounts[index] ?? 0) - removed;
            this.#sum -= removed;
        }
    }

    sum(nowMs: number): number {
        this.#advance(nowMs);
        return Math.max(0, this.#sum);
    }

    #advance(nowMs: number): void {
        const bucket = Math.floor(nowMs / this.#bucketMs);
        const steps = Math.min(this.#amounts.length, bucket - this.#lastBucket);
        for (let step = 1; step <= steps; step += 1) {
            const index = (bucket - steps + step) % this.#amounts.length;
            this.#sum -= this.#amounts[index] ?? 0;
            this.#amounts[index] = 0;
        }
        this.#lastBucket = Math.max(bucket, this.#lastBucket);
    }
}
