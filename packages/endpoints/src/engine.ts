import type { EndpointId, Issue, Outcome, RequestId } from "@filbertrelay/kernel";

/** Why a call to an endpoint failed; `executed` says whether the endpoint may have run the request. */
export interface EndpointIssue extends Issue {
    readonly code:
        | "endpoint.unreachable"
        | "endpoint.refused"
        | "endpoint.overloaded"
        | "endpoint.closed"
        | "endpoint.silent"
        | "endpoint.crashed"
        | "endpoint.staleOrder"
        | "endpoint.notFound"
        | "endpoint.invalid";
    readonly executed: "no" | "unknown" | "yes";
}

/** A chat message in the usual chat-completions form. */
export interface ChatMessage {
    readonly role: "system" | "user" | "assistant";
    readonly content: string;
}

/** A model request as it is sent to an engine. */
export interface EngineRequest {
    readonly requestId: RequestId;
    readonly model: string;
    readonly messages: readonly ChatMessage[];
    readonly maxTokens: number;
    /** Fixed per request, so that a repeated generation gives the same answer where the engine allows it. */
    readonly seed: number;
    /** Smaller is more urgent. */
    readonly priority: number;
    /** Sampling members of the chat-completions form, passed on as they are (temperature, top_p, stop). */
    readonly sampling?: Readonly<Record<string, number | string | readonly string[]>>;
    /** Tokens of the answer that are already known; generation goes on behind them. */
    readonly prefix?: readonly string[];
}

/** One generated token; `offset` counts tokens of the answer up to and including this one. */
export interface EngineToken {
    readonly offset: number;
    readonly text: string;
}

/** The end of a stream: why it finished and what it cost. */
export interface EngineFinish {
    readonly reason: "stop" | "length";
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly generatedTokens: number;
}

/** What an engine's stream yields; an issue is always the last item. */
export type EngineItem =
    | { readonly type: "token"; readonly token: EngineToken; }
    | { readonly type: "finish"; readonly finish: EngineFinish; }
    | { readonly type: "issue"; readonly issue: EndpointIssue; };

/** A load report; `reportedAt` tells how old it is. */
export interface EngineLoad {
    readonly reportedAt: Date;
    readonly runningRequests: number;
    readonly waitingRequests: number;
    readonly waitingPromptTokens: number;
    /** Prompt tokens that the engine computes per second when it is busy; 0 when it does not know. */
    readonly tokensPerSecond: number;
    readonly batchSlots: number;
}

/** A change of an engine's prefix cache; `block` is the chained hash of a prefix block. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted";
    readonly block: string;
}

/** An order that states the wanted end state of an engine. */
export interface EngineOrder {
    readonly fencingToken: number;
    readonly model: string;
    readonly modelVersion: string;
    readonly adapters: readonly string[];
    readonly role: "mixed" | "prefill" | "decode";
}

/** What an engine has loaded; `loading` is true while it changes. */
export interface EngineState {
    readonly model: string;
    readonly modelVersion: string;
    readonly adapters: readonly string[];
    readonly loading: boolean;
}

/** Talks to model engines; registered in the kernel as `engines`. */
export interface EngineDriver {
    /** Starts a generation. Ends with an issue when nothing arrives for `silenceMs`. */
    generate(
        address: string,
        request: EngineRequest,
        options: { readonly silenceMs: number; readonly signal?: AbortSignal; },
    ): AsyncIterable<EngineItem>;
    /** Continues to read a running or finished generation from an offset on a new connection. */
    resume(
        address: string,
        requestId: RequestId,
        offset: number,
        options: { readonly silenceMs: number; readonly signal?: AbortSignal; },
    ): AsyncIterable<EngineItem>;
    /** Stops a generation and frees its batch slot. */
    cancel(address: string, requestId: RequestId): Promise<Outcome<undefined, EndpointIssue>>;
    readLoad(address: string): Promise<Outcome<EngineLoad, EndpointIssue>>;
    /** Waits for cache events with a sequence above the given one. */
    readCacheEvents(
        address: string,
        afterSequence: number,
        options: { readonly timeoutMs: number; readonly signal?: AbortSignal; },
    ): Promise<Outcome<readonly CacheEvent[], EndpointIssue>>;
    /** Moves the KV cache of a generation to another engine; gives the number of tokens moved. */
    moveCache(fromAddress: string, toAddress: string, requestId: RequestId): Promise<Outcome<number, EndpointIssue>>;
    sendOrder(address: string, order: EngineOrder): Promise<Outcome<undefined, EndpointIssue>>;
    /** Reads what the engine has loaded. */
    readState(address: string): Promise<Outcome<EngineState, EndpointIssue>>;
}

/** An endpoint as the routing sees it. */
export interface EndpointAddress {
    readonly endpointId: EndpointId;
    readonly address: string;
}
