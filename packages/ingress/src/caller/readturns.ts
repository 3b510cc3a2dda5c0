import type { GuardedRequest } from "./connectionguard.js";

/**
 * Lets bodies in very small pieces take turns: each read of such a body costs thousands of callbacks, so that many of them together
 * would keep the host from all other work. One of them is read in each turn of the event loop.
 */
export class ReadTurns {
    readonly #waiting: GuardedRequest[] = [];
    #isScheduled = false;

    /** Stops reading a body until its next turn. */
    wait(request: GuardedRequest): void {
        request.pauseConnection();
        this.#waiting.push(request);
        this.#schedule();
    }

    #schedule(): void {
        if (!this.#isScheduled && this.#waiting.length > 0) {
            this.#isScheduled = true;
            setImmediate(() => {
                this.#isScheduled = false;
                this.#waiting.shift()?.resumeConnection();
                this.#schedule();
            });
        }
    }
}
