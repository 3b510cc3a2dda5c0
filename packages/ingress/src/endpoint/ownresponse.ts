import type { ResponseDescription } from "../contract.js";

/** Whether a response answers a request, and is no late duplicate of the response to an earlier one on the connection. */
export function isOwnResponse({ requestId }: ResponseDescription, status: number, ownRequestId: string): boolean {
    return requestId === undefined ? status < 200 || status >= 300 : requestId === ownRequestId;
}
