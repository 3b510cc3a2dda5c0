import type { Clock, RequestId } from "@filbertrelay/kernel";
import type { Answer } from "./answer.js";

/** Limits on how many ended answers are kept and for how long. */
export interface AnswerStoreOptions {
    readonly clock: Clock;
    readonly maximumEnded: number;
    readonly retentionMs: () => number;
}

/** Answers in progress, and ended ones that callers may still request; evicts the oldest ended first. */
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

    /** Adds an answer and keeps it for the retention period after its end. */
    add(answer: Answer): void {
        this.#answers.set(answer.requestId, answer);
        this.#running += 1;
        void answer.ended().then(() => this.#recordEnd(answer.requestId));
    }

    /** The answers that have not ended. */
    inProgress(): readonly Answer[] {
        return [...this.#answers.values()].filter(answer => answer.state.type === "running");
    }

    #recordEnd(requestId: RequestId): void {
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
