import type { Clock } from "@filbertrelay/kernel";
import type { GuardedRequest } from "./connectionguard.js";

/**
 * Time between two reads while several bodies wait, in the length of a read. An ordinary request takes about ten turns of the event loop,
 * so that few of them may hold a read.
 */
const pauseReads = 4;
const longestPauseMs = 500;

/**
 * Lets bodies in very small pieces take turns: each read of such a body costs thousands of callbacks, so that many of them together
 * would keep the host from all other work. A body that waits alone is read in each turn of the event loop.
 */
export class ReadTurns {
    readonly #clock: Clock;
    readonly #waiting: GuardedRequest[] = [];
    #isScheduled = false;
    #pauseMs = 0;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Stops reading a body until its next turn. */
    wait(request: GuardedRequest): void {
        request.pauseConnection();
        request.holdOtherConnections();
        this.#waiting.push(request);
        this.#schedule();
    }

    #schedule(): void {
        if (this.#isScheduled || this.#waiting.length === 0) {
            return;
        }
        this.#isScheduled = true;
        if (this.#waiting.length === 1) {
            setImmediate(() => this.#readNext());
        }
        else {
            this.#clock.after(this.#pauseMs, () => this.#readNext());
        }
    }

    #readNext(): void {
        const startMs = this.#clock.monotonicMs();
        this.#waiting.shift()?.resumeConnection();
        // The read takes place before the second of two turns' ends.
        setImmediate(() =>
            setImmediate(() => {
                this.#pauseMs = Math.min(longestPauseMs, pauseReads * (this.#clock.monotonicMs() - startMs));
                this.#isScheduled = false;
                this.#schedule();
            })
        );
    }
}
