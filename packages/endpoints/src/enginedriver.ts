import { failure, parseJson, success } from "@filbertrelay/kernel";
import type { Clock, Outcome, RequestId } from "@filbertrelay/kernel";
import * as z from "zod";
import { EndpointConnections, failedAttempt, isDeclaredNotRun, readBody } from "./connection.js";
import type { Attempt, EndpointResponse } from "./connection.js";
import type {
    CacheEvent,
    EndpointIssue,
    EngineDriver,
    EngineItem,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    EngineState,
} from "./engine.js";
import { EngineItemStream } from "./itemstream.js";
import { refusesConnections } from "./probe.js";

/** Options of `createEngineDriver`. */
export interface EngineDriverOptions {
    readonly clock: Clock;
    /** How long a cancel, a report or an order may take. */
    readonly callTimeoutMs?: number;
    /** How long the move of one generation's KV cache may take. */
    readonly moveTimeoutMs?: number;
}

/** An engine driver whose connections can be closed. */
export interface ClosableEngineDriver extends EngineDriver {
    stop(): Promise<void>;
}

/** Creates a driver of model engines as described in docs/protocols/model-engine.md. */
export function createEngineDriver(options: EngineDriverOptions): ClosableEngineDriver {
    return new HttpEngineDriver(options);
}

const defaultCallTimeoutMs = 2_000;
const defaultMoveTimeoutMs = 30_000;
const replyLimitBytes = 64_000_000;

const stateSchema = z.object({
    model: z.string(),
    modelVersion: z.string(),
    adapters: z.array(z.string()),
    loading: z.boolean(),
});

const loadSchema = z.object({
    reportedAt: z.iso.datetime().transform(value => new Date(value)),
    runningRequests: z.int().min(0),
    waitingRequests: z.int().min(0),
    waitingPromptTokens: z.int().min(0),
    tokensPerSecond: z.number().min(0),
    batchSlots: z.int().min(0),
});
const cacheEventsSchema = z.object({
    events: z.array(z.object({ sequence: z.int().min(1), kind: z.enum(["stored", "evicted"]), block: z.string().min(1) })),
});
const importedSchema = z.object({ tokens: z.int().min(0) });
const emptySchema = z.unknown();

interface StreamOptions {
    readonly silenceMs: number;
    readonly signal?: AbortSignal;
}

interface Exchange {
    readonly method: string;
    readonly path: string;
    readonly body?: string;
    readonly timeoutMs: number;
    readonly signal?: AbortSignal | undefined;
}

class HttpEngineDriver implements ClosableEngineDriver {
    readonly #clock: Clock;
    readonly #callTimeoutMs: number;
    readonly #moveTimeoutMs: number;
    readonly #connections = new EndpointConnections();

    constructor(options: EngineDriverOptions) {
        this.#clock = options.clock;
        this.#callTimeoutMs = options.callTimeoutMs ?? defaultCallTimeoutMs;
        this.#moveTimeoutMs = options.moveTimeoutMs ?? defaultMoveTimeoutMs;
    }

    generate(address: string, request: EngineRequest, options: StreamOptions): AsyncIterable<EngineItem> {
        const call = { method: "POST", path: "/v1/chat/completions", body: JSON.stringify(completionBody(request)) };
        return this.#stream(address, call, { requestId: request.requestId, offset: request.prefix?.length ?? 0 }, options);
    }

    resume(address: string, requestId: RequestId, offset: number, options: StreamOptions): AsyncIterable<EngineItem> {
        const path = `${generationPath(requestId)}?offset=${offset}`;
        return this.#stream(address, { method: "GET", path, isFresh: true }, { requestId, offset }, options);
    }

    async cancel(address: string, requestId: RequestId): Promise<Outcome<undefined, EndpointIssue>> {
        const exchange = { method: "DELETE", path: generationPath(requestId), timeoutMs: this.#callTimeoutMs };
        const reply = await this.#call(address, exchange, emptySchema);
        return reply.ok ? success(undefined) : reply;
    }

    readLoad(address: string): Promise<Outcome<EngineLoad, EndpointIssue>> {
        return this.#call(address, { method: "GET", path: "/v1/load", timeoutMs: this.#callTimeoutMs }, loadSchema);
    }

    async readCacheEvents(
        address: string,
        afterSequence: number,
        options: { readonly timeoutMs: number; readonly signal?: AbortSignal; },
    ): Promise<Outcome<readonly CacheEvent[], EndpointIssue>> {
        const path = `/v1/cache-events?afterSequence=${afterSequence}&timeoutMs=${options.timeoutMs}`;
        const timeoutMs = options.timeoutMs + this.#callTimeoutMs;
        const reply = await this.#call(address, { method: "GET", path, timeoutMs, signal: options.signal }, cacheEventsSchema);
        return reply.ok ? success(reply.value.events.filter(event => event.sequence > afterSequence)) : reply;
    }

    async moveCache(fromAddress: string, toAddress: string, requestId: RequestId): Promise<Outcome<number, EndpointIssue>> {
        const path = `${generationPath(requestId)}/cache`;
        const deadlineMs = this.#clock.monotonicMs() + this.#moveTimeoutMs;
        const exported = await this.#call(
            fromAddress,
            { method: "GET", path, timeoutMs: this.#moveTimeoutMs },
            z.looseObject({}),
        );
        if (!exported.ok) {
            return exported;
        }
        const timeoutMs = Math.max(1, deadlineMs - this.#clock.monotonicMs());
        const body = JSON.stringify(exported.value);
        const imported = await this.#call(toAddress, { method: "POST", path: "/v1/cache", body, timeoutMs }, importedSchema);
        return imported.ok ? success(imported.value.tokens) : imported;
    }

    async sendOrder(address: string, order: EngineOrder): Promise<Outcome<undefined, EndpointIssue>> {
        const exchange = { method: "POST", path: "/v1/order", body: JSON.stringify(order), timeoutMs: this.#callTimeoutMs };
        const reply = await this.#call(address, exchange, emptySchema);
        return reply.ok ? success(undefined) : reply;
    }

    readState(address: string): Promise<Outcome<EngineState, EndpointIssue>> {
        return this.#call(address, { method: "GET", path: "/v1/state", timeoutMs: this.#callTimeoutMs }, stateSchema);
    }

    stop(): Promise<void> {
        return this.#connections.close();
    }

    #stream(
        address: string,
        call: { readonly method: string; readonly path: string; readonly body?: string; readonly isFresh?: boolean; },
        start: { readonly requestId: RequestId; readonly offset: number; },
        options: StreamOptions,
    ): AsyncIterable<EngineItem> {
        const headers = { ...jsonHeaders, "x-request-id": start.requestId };
        return new EngineItemStream({ address, ...call, headers, ...start, ...options }, {
            clock: this.#clock,
            connections: this.#connections,
            explain: issue => this.#explain(address, issue),
            refusal: (status, answered, text) => refusal(address, status, answered, text),
        });
    }

    /** Tells a crash from a lost connection: a crashed engine refuses new connections. */
    async #explain(address: string, issue: EndpointIssue): Promise<EndpointIssue> {
        return await refusesConnections(address, this.#clock) ?
            { ...issue, code: "endpoint.crashed", message: `The engine '${address}' crashed: it refuses new connections.` } :
            issue;
    }

    async #call<T>(address: string, exchange: Exchange, schema: z.ZodType<T>): Promise<Outcome<T, EndpointIssue>> {
        const attempt: Attempt = { isStarted: false, isTimedOut: false };
        const controller = new AbortController();
        const cancel = this.#clock.afterInput(exchange.timeoutMs, () => {
            attempt.isTimedOut = true;
            this.#connections.renew(address);
            controller.abort(new Error(`no answer came within ${exchange.timeoutMs} ms.`));
        });
        const signal = exchange.signal === undefined ? controller.signal : AbortSignal.any([controller.signal, exchange.signal]);
        try {
            const { method, path, body } = exchange;
            const call = { method, path, headers: jsonHeaders, signal, attempt, ...(body === undefined ? {} : { body }) };
            const response = await this.#connections.send(address, call);
            const text = (await readBody(response.body, replyLimitBytes)).toString("utf8");
            return isSuccess(response) ?
                checkBody(text, schema) :
                failure(refusal(address, response.statusCode, response.headers, text));
        }
        catch (error) {
            return failure(failedAttempt(address, attempt, error));
        }
        finally {
            cancel();
        }
    }
}

const jsonHeaders = { "content-type": "application/json" };

function generationPath(requestId: RequestId): string {
    return `/v1/generations/${encodeURIComponent(requestId)}`;
}

function completionBody(request: EngineRequest): unknown {
    const { requestId, model, messages, maxTokens, seed, priority, sampling, prefix } = request;
    return {
        ...sampling,
        request_id: requestId,
        model,
        messages,
        max_tokens: maxTokens,
        seed,
        priority,
        stream: true,
        prefix: prefix ?? [],
    };
}

function isSuccess(response: EndpointResponse): boolean {
    return response.statusCode >= 200 && response.statusCode <= 299;
}

const errorSchema = z.object({ error: z.object({ code: z.string(), message: z.string() }) });

const refusalCodes: ReadonlyMap<number, EndpointIssue["code"]> = new Map([
    [400, "endpoint.invalid"],
    [404, "endpoint.notFound"],
    [409, "endpoint.staleOrder"],
    [429, "endpoint.overloaded"],
    [503, "endpoint.refused"],
]);

function refusal(address: string, status: number, headers: EndpointResponse["headers"], text: string): EndpointIssue {
    const checked = errorSchema.safeParse(parseJson(text));
    const reason = checked.success ? `: ${checked.data.error.message}` : ".";
    return {
        code: refusalCodes.get(status) ?? "endpoint.invalid",
        executed: isDeclaredNotRun(headers) ? "no" : "unknown",
        message: `The engine '${address}' answered with status ${status}${reason}`,
    };
}

function checkBody<T>(text: string, schema: z.ZodType<T>): Outcome<T, EndpointIssue> {
    const checked = schema.safeParse(text === "" ? undefined : parseJson(text));
    if (checked.success) {
        return success(checked.data);
    }
    const message = `The engine's answer has an unexpected shape: ${checked.error.issues[0]?.message ?? ""}`;
    return failure({ code: "endpoint.invalid", executed: "unknown", message });
}
