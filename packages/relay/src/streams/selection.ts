import type { EndpointId } from "@filbertrelay/kernel";
import type { InterruptionCause, PromptBlocks } from "@filbertrelay/policy";
import { notExecutedIssue } from "../caller/error.js";
import type { CallerIssue } from "../caller/error.js";
import type { DirectoryEntry } from "../contract.js";
import type { EngineChoice } from "../routing/router.js";
import type { StreamTaskContext } from "./context.js";

/** How long a request waits for an engine to appear or for its turn in isolation before it asks again. */
const waitPeriodMs = 200;

/** The request that needs an engine. */
export interface SelectionRequest {
    readonly model: string;
    readonly prompt: PromptBlocks;
    readonly fingerprint: string;
}

/** What came of the search for an engine. */
export type Selection =
    | { readonly type: "chosen"; readonly choice: EngineChoice; }
    | { readonly type: "failed"; readonly issue: CallerIssue; }
    | { readonly type: "stopped"; };

/** Chooses engines for one request: leaves out those that failed it, and runs a suspect in isolation. */
export class EngineSelection {
    readonly #context: StreamTaskContext;
    readonly #request: SelectionRequest;
    readonly #excluded = new Set<EndpointId>();
    #avoided: DirectoryEntry | undefined;
    #preferred: EndpointId | undefined;
    #hasReservation = false;

    constructor(context: StreamTaskContext, request: SelectionRequest) {
        this.#context = context;
        this.#request = request;
    }

    /** Prefers an engine for the next choice, because the KV cache was moved there. */
    prefer(endpointId: EndpointId | undefined): void {
        this.#preferred = endpointId;
    }

    /** Leaves an engine out after an interruption; a lost host's failure domain is avoided too. */
    leaveOut(engine: DirectoryEntry, endpointId: EndpointId, cause: InterruptionCause): void {
        this.#excluded.clear();
        this.#excluded.add(endpointId);
        this.#avoided = cause === "reclaimed" || cause === "crashed" ? engine : undefined;
    }

    /** Waits for an engine until the limit (wall-clock milliseconds) or until the request is stopped. */
    async choose(options: { readonly limitAt: number; readonly isStopped: () => boolean; }): Promise<Selection> {
        const { kernel, suspects } = this.#context;
        this.release();
        await suspects.shared();
        while (!options.isStopped()) {
            const decision = suspects.decide(this.#request.fingerprint);
            if (decision.type === "reject") {
                return { type: "failed", issue: rejected(decision.retryAfterMs) };
            }
            const choice = decision.type === "wait" ? undefined : this.#tryChoose();
            const isUsable = decision.type !== "isolate" ||
                (choice !== undefined && await suspects.reserve(this.#request.fingerprint, choice.endpointId));
            if (choice !== undefined && isUsable) {
                this.#hasReservation = decision.type === "isolate";
                return { type: "chosen", choice };
            }
            if (kernel.clock.now().getTime() >= options.limitAt) {
                return { type: "failed", issue: noEngine(this.#request.model) };
            }
            await kernel.clock.sleep(waitPeriodMs);
        }
        return { type: "stopped" };
    }

    /** Gives up the reservation of an engine for a run in isolation. */
    release(): void {
        if (this.#hasReservation) {
            this.#hasReservation = false;
            this.#context.suspects.release(this.#request.fingerprint);
        }
    }

    #tryChoose(): EngineChoice | undefined {
        const { router, suspects } = this.#context;
        const { model, prompt } = this.#request;
        const isolated = suspects.isolatedEndpoints();
        const avoidedFailureDomains = new Set(this.#avoided === undefined ? [] : [this.#avoided.failureDomain]);
        const preferred = this.#preferred;
        this.#preferred = undefined;
        const chosen = [new Set([...this.#excluded, ...isolated]), isolated]
            .map(excluded => router.choose(model, prompt, { excluded, avoidedFailureDomains, preferred }))
            .find(choice => choice.ok);
        return chosen?.ok === true ? chosen.value : undefined;
    }
}

function rejected(retryAfterMs: number): CallerIssue {
    const message = "This request was in progress at two crashes of engines and is refused for a while.";
    return notExecutedIssue(422, "stream.crashesEndpoints", message, { retryAfterMs });
}

function noEngine(model: string): CallerIssue {
    return notExecutedIssue(503, "stream.noEngine", `The model '${model}' has no engine that can take the request.`, {
        retryAfterMs: 1_000,
    });
}
