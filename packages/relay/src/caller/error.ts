import type { Issue } from "@filbertrelay/kernel";

/** Whether a request was executed, as reported to callers; `no` is reported only if it is proven. */
export type Executed = "no" | "yes" | "unknown";

/** An entry host that a caller may use instead. */
export interface EntryPoint {
    readonly hostId: string;
    readonly address: string;
    readonly failureDomain: string;
}

/** An error that is reported to a caller. */
export interface CallerIssue extends Issue {
    readonly status: number;
    readonly executed: Executed;
    readonly retryAfterMs?: number;
    readonly entryPoints?: readonly EntryPoint[];
}

/** Builds the issue for a request that was not executed. */
export function notExecutedIssue(status: number, code: string, message: string, details: Partial<CallerIssue> = {}): CallerIssue {
    return { status, code, message, executed: "no", ...details };
}

/** Renders an issue as the body of an error response. */
export function renderIssue(issue: CallerIssue): string {
    const { code, message, path, executed, retryAfterMs, entryPoints } = issue;
    return JSON.stringify({ error: { code, message, path, executed, retryAfterMs, entryPoints } });
}

/** Builds the HTTP response for an issue. */
export function issueResponse(issue: CallerIssue, requestId?: string): Response {
    const headers = new Headers({ "content-type": "application/json" });
    if (issue.retryAfterMs !== undefined) {
        headers.set("retry-after", String(Math.ceil(issue.retryAfterMs / 1_000)));
    }
    if (requestId !== undefined) {
        headers.set("x-request-id", requestId);
    }
    return new Response(renderIssue(issue), { status: issue.status, headers });
}
