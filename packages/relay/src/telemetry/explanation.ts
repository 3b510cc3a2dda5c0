import type { Clock } from "@filbertrelay/kernel";

/** A decision about a request. */
export interface Decision {
    readonly at: Date;
    readonly what: string;
    readonly details: Readonly<Record<string, unknown>>;
}

const maximumRequests = 2_000;
const maximumDecisions = 50;

/** Stores the routing and recovery decisions about recent requests; registered as `explanations`. */
export class Explanations {
    readonly #clock: Clock;
    readonly #decisions = new Map<string, Decision[]>();

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Adds a decision; evicts the oldest request when there are too many. */
    add(requestId: string, what: string, details: Readonly<Record<string, unknown>> = {}): void {
        const decisions = this.#decisions.get(requestId) ?? [];
        if (decisions.length < maximumDecisions) {
            decisions.push({ at: this.#clock.now(), what, details });
        }
        this.#decisions.set(requestId, decisions);
        const oldest = this.#decisions.keys().next();
        if (this.#decisions.size > maximumRequests && oldest.done !== true) {
            this.#decisions.delete(oldest.value);
        }
    }

    /** The decisions about a request, oldest first. */
    of(requestId: string): readonly Decision[] {
        return this.#decisions.get(requestId) ?? [];
    }
}
