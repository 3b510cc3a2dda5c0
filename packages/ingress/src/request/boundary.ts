import { InvariantError } from "@filbertrelay/kernel";

/** Runs the callbacks of one request, so that an unexpected error in one of them ends this request and no other. */
export class RequestBoundary {
    readonly #onError: (error: unknown) => void;

    /** `onError` is called for each error; that of a violated invariant is thrown instead, since it ends the process. */
    constructor(onError: (error: unknown) => void) {
        this.#onError = onError;
    }

    /** Calls a callback at once. */
    run(callback: () => void): void {
        try {
            callback();
        }
        catch (error) {
            if (error instanceof InvariantError) {
                throw error;
            }
            this.#onError(error);
        }
    }

    /** Returns a callback that can be called from outside of the request, such as from a socket or a timer. */
    guard<Values extends readonly unknown[]>(callback: (...values: Values) => void): (...values: Values) => void {
        return (...values) => this.run(() => callback(...values));
    }
}
