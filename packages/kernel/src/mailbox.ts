import { InvariantError } from "./error.js";

interface Envelope<M> {
    readonly message: M;
    readonly done: () => void;
    readonly fail: (error: unknown) => void;
}

/** Delivers messages to a handler one at a time, in posting order. */
export class Mailbox<M> {
    readonly #handle: (message: M) => Promise<void> | void;
    readonly #queue: Envelope<M>[] = [];
    #running = false;
    #closed = false;

    constructor(handle: (message: M) => Promise<void> | void) {
        this.#handle = handle;
    }

    /** The number of messages waiting to be handled. */
    get size(): number {
        return this.#queue.length;
    }

    /** Posts a message; resolves when it has been handled, rejects if the handler throws or the mailbox is closed. */
    post(message: M): Promise<void> {
        if (this.#closed) {
            return Promise.reject(new InvariantError("A message was posted to a closed mailbox."));
        }
        return new Promise((done, fail) => {
            this.#queue.push({ message, done, fail });
            if (!this.#running) {
                this.#running = true;
                queueMicrotask(() => void this.#drain());
            }
        });
    }

    /** Rejects further messages; those already posted are still handled. */
    close(): void {
        this.#closed = true;
    }

    async #drain(): Promise<void> {
        for (let envelope = this.#queue.shift(); envelope !== undefined; envelope = this.#queue.shift()) {
            try {
                await this.#handle(envelope.message);
                envelope.done();
            }
            catch (error) {
                envelope.fail(error);
            }
        }
        this.#running = false;
    }
}
