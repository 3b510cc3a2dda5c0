import type { Clock } from "@filbertrelay/kernel";

const checkMs = 1_000;

/** Checks all transfers that are not complete at an interval; has no timer while there are none. */
export class TransferWatch {
    readonly #clock: Clock;
    readonly #transfers = new Set<(nowMs: number) => void>();
    #isScheduled = false;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Calls `check` with the time until it is removed. */
    add(check: (nowMs: number) => void): void {
        this.#transfers.add(check);
        this.#schedule();
    }

    remove(check: (nowMs: number) => void): void {
        this.#transfers.delete(check);
    }

    #checkAll(): void {
        this.#isScheduled = false;
        const nowMs = this.#clock.monotonicMs();
        [...this.#transfers].forEach(check => check(nowMs));
        this.#schedule();
    }

    #schedule(): void {
        if (!this.#isScheduled && this.#transfers.size > 0) {
            this.#isScheduled = true;
            this.#clock.after(checkMs, () => this.#checkAll());
        }
    }
}
