import type { HeaderList } from "../contract.js";

/** An answer that the ingress gives itself. */
export interface OwnAnswer {
    readonly status: number;
    readonly code: string;
    readonly message: string;
    /** Whether the request may have run on an endpoint. */
    readonly executed: "no" | "unknown";
    readonly retryAfterMs?: number;
}

/** Builds the headers and body of an own answer. */
export function renderOwnAnswer(answer: OwnAnswer): { readonly headers: HeaderList; readonly body: Buffer; } {
    const { code, message, executed, retryAfterMs } = answer;
    const error = { code, message, executed, ...(retryAfterMs === undefined ? {} : { retryAfterMs: Math.round(retryAfterMs) }) };
    const body = Buffer.from(JSON.stringify({ error }));
    const headers: [string, string][] = [["Content-Type", "application/json"]];
    if (retryAfterMs !== undefined) {
        headers.push(["Retry-After", (retryAfterMs / 1_000).toFixed(3)]);
    }
    return { headers, body };
}
