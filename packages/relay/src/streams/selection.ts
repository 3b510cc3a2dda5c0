import type { EndpointId } from "@filbertrelay/kernel";
import type { InterruptionCause, PromptBlocks } from "@filbertrelay/policy";
import { notExecutedIssue } from "../caller/error.js";
import type { CallerIssue } from "../caller/error.js";
import type { DirectoryEntry } from "../contract.js";
import type { EngineChoice } from "../routing/router.js";
import type { StreamTaskContext } from "./context.js";

/** Period of the checks for an available engine or for the request's turn in isolation. */
const waitPeriodMs = 200;

/** The request for which an engine is selected. */
export interface SelectionRequest {
    readonly model: string;
    readonly prompt: PromptBlocks;
    readonly fingerprint: string;
}

/** The result of a selection. */
export type Selection =
    | { readonly type: "chosen"; readonly choice: EngineChoice; }
    | { readonly type: "failed"; readonly issue: CallerIssue; }
    | { readonly type: "stopped"; };

/** Chooses engines for one request: excludes the one that last failed it, and reserves an engine for a suspect. */
export class EngineSelection {
    readonly #context: StreamTaskContext;
    readonly #request: SelectionRequest;
    readonly #excluded = new Set<EndpointId>();
    #avoidedEngine: DirectoryEntry | undefined;
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

    /** Excludes an engine after an interruption; after a reclaim or crash its failure domain is avoided too. */
    exclude(engine: DirectoryEntry, endpointId: EndpointId, cause: InterruptionCause): void {
        this.#excluded.clear();
        this.#excluded.add(endpointId);
        this.#avoidedEngine = cause === "reclaimed" || cause === "crashed" ? engine : undefined;
    }

    /** Waits for an engine until the limit (wall-clock milliseconds) or until the request is stopped. */
    async choose(options: { readonly limitAt: number; readonly isStopped: () => boolean; }): Promise<Selection> {
        const { kernel, suspects } = this.#context;
        this.release();
        await suspects.whenShared();
        while (!options.isStopped()) {
            const decision = suspects.decide(this.#request.fingerprint);
            if (decision.type === "reject") {
                return { type: "failed", issue: rejectedIssue(decision.retryAfterMs) };
            }
            const choice = decision.type === "wait" ? undefined : this.#tryChoose();
            const isUsable = decision.type !== "isolate" ||
                (choice !== undefined && await suspects.reserve(this.#request.fingerprint, choice.endpointId));
            if (choice !== undefined && isUsable) {
                this.#hasReservation = decision.type === "isolate";
                return { type: "chosen", choice };
            }
            if (kernel.clock.now().getTime() >= options.limitAt) {
                return { type: "failed", issue: noEngineIssue(this.#request.model) };
            }
            await kernel.clock.sleep(waitPeriodMs);
        }
        return { type: "stopped" };
    }

    /** Releases the engine reserved for a run in isolation. */
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
        const avoidedFailureDomains = new Set(this.#avoidedEngine === undefined ? [] : [this.#avoidedEngine.failureDomain]);
        const preferred = this.#preferred;
        this.#preferred = undefined;
        const chosen = [new Set([...this.#excluded, ...isolated]), isolated]
            .map(excluded => router.choose(model, prompt, { excluded, avoidedFailureDomains, preferred }))
            .find(choice => choice.ok);
        return chosen?.ok === true ? chosen.value : undefined;
    }
}

function rejectedIssue(retryAfterMs: number): CallerIssue {
    const message = "The request was in progress during two engine crashes and is refused temporarily.";
    return notExecutedIssue(422, "stream.crashesEndpoints", message, { retryAfterMs });
}

function noEngineIssue(model: string): CallerIssue {
    return notExecutedIssue(503, "stream.noEngine", `The model '${model}' has no engine that can take the request.`, {
        retryAfterMs: 1_000,
    });
}
