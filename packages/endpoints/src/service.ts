import type { IdempotencyKey, Outcome, RequestId } from "@filbertrelay/kernel";
import type { EndpointIssue } from "./engine.js";

/** A request to a plain service. */
export interface ServiceRequest {
    readonly requestId: RequestId;
    readonly method: string;
    /** Path and query below the service's root, starting with a slash. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    readonly idempotencyKey?: IdempotencyKey;
    readonly fencingToken?: number;
}

/** The whole answer of a plain service. */
export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
}

/** Talks to plain services; registered in the kernel as `services`. */
export interface ServiceDriver {
    /** Sends a request once; never repeats it. `executed: "no"` is reported only when no byte was sent or the endpoint said so. */
    send(
        address: string,
        request: ServiceRequest,
        options: { readonly timeoutMs: number; readonly signal?: AbortSignal; },
    ): Promise<Outcome<ServiceResponse, EndpointIssue>>;
    /** Asks an endpoint that offers a status query whether it ran a key. */
    queryKey(
        address: string,
        idempotencyKey: IdempotencyKey,
        options: { readonly timeoutMs: number; },
    ): Promise<Outcome<{ readonly executed: "no" | "yes"; readonly response?: ServiceResponse; }, EndpointIssue>>;
}
