import type { HeaderList } from "../contract.js";
import type { CallerResponder } from "./responder.js";

/** An answer that the ingress gives itself. */
export interface OwnAnswer {
    readonly status: number;
    readonly code: string;
    readonly message: string;
    /** Whether the request may have run on an endpoint. */
    readonly executed: "no" | "unknown";
    readonly retryAfterMs?: number;
}

/** Sends an own answer. */
export function sendOwnAnswer(responder: CallerResponder, answer: OwnAnswer): void {
    const { status, code, message, executed, retryAfterMs } = answer;
    const error = { code, message, executed, ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.round(retryAfterMs) }) };
    const headers: HeaderList = [
        ["Content-Type", "application/json"],
        ...(retryAfterMs === undefined ? [] : [["Retry-After", (retryAfterMs / 1_000).toFixed(3)] as const]),
    ];
    responder.answer(status, headers, Buffer.from(JSON.stringify({ error })));
}
