import type { HeaderList } from "../contract.js";
import type { CallerResponder } from "./responder.js";

/** An error response that the ingress generates itself. */
export interface ErrorResponse {
    readonly status: number;
    readonly code: string;
    readonly message: string;
    /** `unknown` when an endpoint may have executed the request. */
    readonly executed: "no" | "unknown";
    readonly retryAfterMs?: number;
}

export function sendErrorResponse(responder: CallerResponder, answer: ErrorResponse): void {
    const { status, code, message, executed, retryAfterMs } = answer;
    const error = { code, message, executed, ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.round(retryAfterMs) }) };
    const headers: HeaderList = [
        ["Content-Type", "application/json"],
        ...(retryAfterMs === undefined ? [] : [["Retry-After", (retryAfterMs / 1_000).toFixed(3)] as const]),
    ];
    responder.answer(status, headers, Buffer.from(JSON.stringify({ error })));
}
