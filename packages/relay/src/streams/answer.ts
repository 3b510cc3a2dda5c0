import type { EngineFinish } from "@filbertrelay/endpoints";
import type { Cancel, CustomerId, RequestId } from "@filbertrelay/kernel";
import type { CallerIssue } from "../caller/error.js";

/** Whether an answer is still generated and, if not, how it ended. */
export type AnswerState =
    | { readonly type: "running"; }
    | { readonly type: "finished"; readonly finish: EngineFinish; }
    | { readonly type: "failed"; readonly issue: CallerIssue; }
    /** Another entry host continues the answer. */
    | { readonly type: "moved"; };

/** The state of an answer that has ended. */
export type EndedState = Exclude<AnswerState, { type: "running"; }>;

/** The request, customer and model of an answer. */
export interface AnswerIdentity {
    readonly requestId: RequestId;
    readonly customer: CustomerId;
    readonly model: string;
}

/** The answer of one model request: the tokens so far, numbered from 1, and its state. */
export class Answer {
    readonly requestId: RequestId;
    readonly customer: CustomerId;
    readonly model: string;
    readonly #tokens: string[];
    readonly #listeners = new Set<() => void>();
    readonly #ended: Promise<EndedState>;
    #resolveEnded: (state: EndedState) => void = () => undefined;
    #state: AnswerState = { type: "running" };

    constructor(identity: AnswerIdentity, tokens: readonly string[] = []) {
        this.requestId = identity.requestId;
        this.customer = identity.customer;
        this.model = identity.model;
        this.#tokens = [...tokens];
        this.#ended = new Promise(resolve => {
            this.#resolveEnded = resolve;
        });
    }

    /** The number of tokens so far, which is also the offset of the last one. */
    get length(): number {
        return this.#tokens.length;
    }

    get state(): AnswerState {
        return this.#state;
    }

    /** The token after the given offset. */
    at(offset: number): string | undefined {
        return this.#tokens[offset];
    }

    /** The tokens after the given offset. */
    tokensFrom(offset: number): readonly string[] {
        return this.#tokens.slice(offset);
    }

    /** Appends the next token. Ignores a token that is already present and rejects one that would leave a gap. */
    append(offset: number, text: string): "appended" | "duplicate" | "gap" {
        if (this.#state.type !== "running" || offset <= this.#tokens.length) {
            return "duplicate";
        }
        if (offset > this.#tokens.length + 1) {
            return "gap";
        }
        this.#tokens.push(text);
        this.#notify();
        return "appended";
    }

    /** Ends the answer; later calls have no effect. */
    end(state: EndedState): void {
        if (this.#state.type === "running") {
            this.#state = state;
            this.#resolveEnded(state);
            this.#notify();
        }
    }

    /** Calls the callback after each token and at the end. */
    onChange(callback: () => void): Cancel {
        this.#listeners.add(callback);
        return () => this.#listeners.delete(callback);
    }

    /** Resolves when the answer has ended. */
    ended(): Promise<EndedState> {
        return this.#ended;
    }

    /** Resolves after the next change. */
    changed(): Promise<void> {
        return new Promise(resolve => {
            const cancel = this.onChange(() => {
                cancel();
                resolve();
            });
        });
    }

    #notify(): void {
        for (const listener of this.#listeners) {
            listener();
        }
    }
}
