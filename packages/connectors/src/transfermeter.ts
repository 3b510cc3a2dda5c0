import type { Clock, TransferProgress } from "@filbertrelay/kernel";

/** Counts what arrives of one response. */
export class TransferMeter {
    readonly #clock: Clock;
    readonly #startMs: number;
    #firstByteMs: number | undefined;
    #lastByteMs: number | undefined;
    #receivedBytes = 0;
    #totalBytes: number | undefined;

    constructor(clock: Clock) {
        this.#clock = clock;
        this.#startMs = clock.monotonicMs();
    }

    /** How much has arrived by now. */
    get progress(): TransferProgress {
        return {
            elapsedMs: this.#elapsedMs(),
            receivedBytes: this.#receivedBytes,
            ...(this.#firstByteMs === undefined ? {} : { firstByteMs: this.#firstByteMs }),
            ...(this.#lastByteMs === undefined ? {} : { lastByteMs: this.#lastByteMs }),
            ...(this.#totalBytes === undefined ? {} : { totalBytes: this.#totalBytes }),
        };
    }

    /** Records the head; `length` is its header `content-length`. */
    recordHead(length: string | readonly string[] | undefined): void {
        this.#totalBytes = typeof length === "string" && /^\d{1,15}$/.test(length) ? Number(length) : undefined;
    }

    recordBytes(count: number): void {
        this.#lastByteMs = this.#elapsedMs();
        this.#firstByteMs ??= this.#lastByteMs;
        this.#receivedBytes += count;
    }

    #elapsedMs(): number {
        return this.#clock.monotonicMs() - this.#startMs;
    }
}
