import { request } from "undici";

/** Faults that every stand-in takes at `/control/faults`; see docs/protocols. */
export interface Faults {
    readonly outage?: "down" | "hang" | "slow" | "none";
    readonly forMs?: number;
    readonly delayMs?: number;
    readonly loseReplies?: number;
    readonly loseMethods?: readonly string[];
    readonly losePath?: string;
}

const timeoutMs = 10_000;

/** Calls a control path of a stand-in; an answer other than 2xx is an error of the test or demo. */
export async function callControl(url: string, path: string, body?: unknown): Promise<unknown> {
    const response = await request(`${url}/control${path}`, {
        method: body === undefined ? "GET" : "POST",
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(timeoutMs),
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    const text = await response.body.text();
    if (response.statusCode >= 300) {
        throw new Error(`The stand-in at ${url} answered '/control${path}' with status ${response.statusCode}: ${text}`);
    }
    return text === "" ? undefined : JSON.parse(text);
}
