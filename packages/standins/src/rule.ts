import { parseJson } from "@filbertrelay/kernel";
import { randomUUID } from "node:crypto";
import { request } from "undici";
import type { Dispatcher } from "undici";

/** One rule of a protocol page; the check throws when the implementation breaks it. */
export interface Rule {
    readonly id: string;
    readonly text: string;
    readonly check: () => Promise<void>;
}

/** What an implementation offers beyond the basic protocol, and what exists in it. */
export interface RuleOptions {
    readonly url: string;
    readonly model: string;
    readonly modelVersion: string;
    readonly deduplicates: boolean;
    readonly answersStatus: boolean;
    readonly checksFencing: boolean;
    readonly withoutCache: boolean;
    readonly withOrders: boolean;
}

/** The answer to a call of a check; `body` is undefined when it is not JSON. */
export interface RuleReply {
    readonly status: number;
    readonly headers: Dispatcher.ResponseData["headers"];
    readonly text: string;
    readonly body: unknown;
}

// Longer than any wait that a rule asks for, so that a hanging implementation ends the rule.
const callTimeoutMs = 15_000;

/** Sends one call; throws when no complete answer came in time. */
export async function call(
    url: string,
    method: Dispatcher.HttpMethod,
    path: string,
    options: { readonly body?: unknown; readonly headers?: Readonly<Record<string, string>>; } = {},
): Promise<RuleReply> {
    const { body, headers } = options;
    const response = await request(`${url}${path}`, {
        method,
        headers: { ...(body === undefined ? {} : { "content-type": "application/json" }), ...headers },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(callTimeoutMs),
    });
    const text = await response.body.text();
    return { status: response.statusCode, headers: response.headers, text, body: parseJson(text) };
}

/** A name that no earlier check used. */
export function uniqueName(start: string): string {
    return `${start}-${randomUUID()}`;
}
