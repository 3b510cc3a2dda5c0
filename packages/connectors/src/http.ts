import { failure, success } from "@filbertrelay/kernel";
import type { Clock, Issue, Outcome } from "@filbertrelay/kernel";
import { Agent } from "undici";
import type { Dispatcher } from "undici";
import type { z } from "zod";

/** Options that all platform clients share. */
export interface ClientOptions {
    /** Root of the service, such as `http://127.0.0.1:7801`. */
    readonly url: string;
    readonly clock: Clock;
    /** How long one call may take; long polls wait for their own time in addition. */
    readonly timeoutMs?: number;
    /** Longest answer that is read, in bytes; bytes of a service in trouble may never end. */
    readonly replyLimitBytes?: number;
}

/** One HTTP call with a JSON body and a JSON answer. */
export interface JsonCall {
    readonly method: Dispatcher.HttpMethod;
    readonly path: string;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
    /** Time a long poll may wait before the ordinary timeout starts. */
    readonly waitMs?: number;
    /**
     * Sends the call on a connection of its own. On a shared one, a late second copy of an earlier answer would be taken for this
     * call's, which must not happen where the answer gives a right.
     */
    readonly isAlone?: boolean;
    /** Time after which the call must not reach the service any more, where it is shorter than the ordinary timeout. */
    readonly limitMs?: number;
    readonly signal?: AbortSignal | undefined;
}

/** A definite answer of the service; `body` is undefined when it was empty. */
export interface JsonReply {
    readonly status: number;
    readonly body: unknown;
}

/** The service gave no definite answer: the call may or may not have taken effect. */
export interface NoAnswer extends Issue {
    readonly code: "http.noAnswer";
}

const defaultTimeoutMs = 2_000;
// Larger than any legal answer: a list of the 64 shard values of 1 MB each.
const defaultReplyLimitBytes = 80_000_000;

/** Sends JSON calls over pooled connections; never repeats a call. */
export class JsonCaller {
    readonly #origin: string;
    readonly #clock: Clock;
    readonly #timeoutMs: number;
    readonly #replyLimitBytes: number;
    readonly #retired = new Set<Agent>();
    #agent = createAgent();

    constructor(options: ClientOptions) {
        this.#origin = options.url.replace(/\/+$/, "");
        this.#clock = options.clock;
        this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
        this.#replyLimitBytes = options.replyLimitBytes ?? defaultReplyLimitBytes;
    }

    async call(call: JsonCall): Promise<Outcome<JsonReply, NoAnswer>> {
        const controller = new AbortController();
        const limitMs = Math.min(this.#timeoutMs + (call.waitMs ?? 0), call.limitMs ?? Infinity);
        const agent = call.isAlone === true ? createAgent() : this.#agent;
        const cancel = this.#clock.after(limitMs, () => {
            this.#retire(agent);
            controller.abort(new Error(`No answer came within ${limitMs} ms.`));
        });
        const abort = (): void => controller.abort(call.signal?.reason);
        call.signal?.addEventListener("abort", abort, { once: true });
        if (call.signal?.aborted === true) {
            abort();
        }
        try {
            return success(await this.#send(call, agent, controller.signal));
        }
        catch (error) {
            const reason = error instanceof Error ? error.message : String(error);
            return failure({
                code: "http.noAnswer",
                message: `'${call.method} ${this.#origin}${call.path}' got no answer: ${reason}`,
            });
        }
        finally {
            cancel();
            call.signal?.removeEventListener("abort", abort);
            if (call.isAlone === true) {
                await agent.destroy();
            }
        }
    }

    /** Uses no open connection again, because an answer on one of them did not fit its call. */
    distrustConnections(): void {
        this.#retire(this.#agent);
    }

    /** Closes the pooled connections; calls in progress end without an answer. */
    async close(): Promise<void> {
        await Promise.all([this.#agent, ...this.#retired].map(agent => agent.destroy()));
    }

    /** After a silence no open connection is used again, because others may be black-holed as well. */
    #retire(agent: Agent): void {
        if (agent !== this.#agent) {
            return;
        }
        this.#agent = createAgent();
        this.#retired.add(agent);
        const forget = (): void => void this.#retired.delete(agent);
        agent.close().then(forget, forget);
    }

    async #send(call: JsonCall, agent: Agent, signal: AbortSignal): Promise<JsonReply> {
        const response = await agent.request({
            origin: this.#origin,
            path: call.path,
            method: call.method,
            signal,
            headers: { ...call.headers, ...(call.body === undefined ? {} : { "content-type": "application/json" }) },
            ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) }),
        });
        const text = await readText(response.body, this.#replyLimitBytes);
        return { status: response.statusCode, body: parseJson(text) };
    }
}

function createAgent(): Agent {
    return new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0, connect: { timeout: 2_000 } });
}

async function readText(body: AsyncIterable<Buffer>, limitBytes: number): Promise<string> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > limitBytes) {
            throw new Error(`The answer is longer than ${limitBytes} bytes.`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
}

function parseJson(text: string): unknown {
    if (text === "") {
        return undefined;
    }
    try {
        return JSON.parse(text);
    }
    catch {
        throw new Error("The answer is not JSON.");
    }
}

/** Checks a reply's body against a schema; a body of another shape is no definite answer. */
export function checkReply<T>(schema: z.ZodType<T>, reply: JsonReply): Outcome<T, NoAnswer> {
    const checked = schema.safeParse(reply.body);
    if (checked.success) {
        return success(checked.data);
    }
    const first = checked.error.issues[0];
    const where = first === undefined ? "" : ` at '${first.path.join(".")}': ${first.message}`;
    return failure({ code: "http.noAnswer", message: `The answer with status ${reply.status} has an unexpected shape${where}.` });
}
