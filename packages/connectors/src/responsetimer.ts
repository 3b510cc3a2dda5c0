import type { Cancel, Clock } from "@filbertrelay/kernel";

/** Calls back once a due time has passed that may move while it waits. */
export class ResponseTimer {
    readonly #clock: Clock;
    readonly #leftMs: () => number;
    readonly #onDue: () => void;
    #cancel: Cancel = () => undefined;

    /** `leftMs` gives the milliseconds until the response is due. */
    constructor(options: { readonly clock: Clock; readonly leftMs: () => number; readonly onDue: () => void; }) {
        this.#clock = options.clock;
        this.#leftMs = options.leftMs;
        this.#onDue = options.onDue;
        this.restart();
    }

    /** To be called when the due time may have become earlier. */
    restart(): void {
        this.#cancel();
        this.#cancel = this.#clock.afterInput(Math.max(0, Math.ceil(this.#leftMs())), () => {
            if (this.#leftMs() > 0) {
                this.restart();
            }
            else {
                this.#onDue();
            }
        });
    }

    cancel(): void {
        this.#cancel();
    }
}
