import type { Clock, RequestId } from "@filbertrelay/kernel";
import type { Answer } from "./answer.js";

/** How many answers and characters are kept after their end. */
export interface AnswerStoreOptions {
    readonly clock: Clock;
    readonly maximumEnded: number;
    readonly retentionMs: () => number;
}

/** Answers in progress, and ended ones for as long as a caller may come back, oldest dropped first. */
export class AnswerStore {
    readonly #options: AnswerStoreOptions;
    readonly #answers = new Map<RequestId, Answer>();
    readonly #ended = new Map<RequestId, number>();
    #running = 0;

    constructor(options: AnswerStoreOptions) {
        this.#options = options;
    }

    /** The number of answers in progress. */
    get running(): number {
        return this.#running;
    }

    get(requestId: RequestId): Answer | undefined {
        return this.#answers.get(requestId);
    }

    /** Adds an answer and keeps it until some time after its end. */
    add(answer: Answer): void {
        this.#answers.set(answer.requestId, answer);
        this.#running += 1;
        void answer.ended().then(() => this.#retire(answer.requestId));
    }

    /** The answers that have not ended. */
    inProgress(): readonly Answer[] {
        return [...this.#answers.values()].filter(answer => answer.state.type === "running");
    }

    #retire(requestId: RequestId): void {
        this.#running -= 1;
        this.#ended.set(requestId, this.#options.clock.monotonicMs());
        const oldestKeptMs = this.#options.clock.monotonicMs() - this.#options.retentionMs();
        for (const [endedId, endedMs] of this.#ended) {
            if (endedMs >= oldestKeptMs && this.#ended.size <= this.#options.maximumEnded) {
                return;
            }
            this.#ended.delete(endedId);
            this.#answers.delete(endedId);
        }
    }
}
