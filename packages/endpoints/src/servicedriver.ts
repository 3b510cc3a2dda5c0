import { connectionHeaders, failure, success } from "@filbertrelay/kernel";
import type { Clock, IdempotencyKey, Outcome } from "@filbertrelay/kernel";
import * as z from "zod";
import { EndpointConnections, failedAttempt, isDeclaredNotRun, readBody } from "./connection.js";
import type { Attempt, EndpointResponse } from "./connection.js";
import type { EndpointIssue } from "./engine.js";
import type { ServiceDriver, ServiceRequest, ServiceResponse } from "./service.js";

/** Options of `createServiceDriver`. */
export interface ServiceDriverOptions {
    readonly clock: Clock;
    /** Longest answer that is accepted. */
    readonly responseLimitBytes?: number;
}

/** A service driver whose connections can be closed. */
export interface ClosableServiceDriver extends ServiceDriver {
    stop(): Promise<void>;
}

/** Creates a driver of plain services as described in docs/protocols/plain-service.md. */
export function createServiceDriver(options: ServiceDriverOptions): ClosableServiceDriver {
    return new HttpServiceDriver(options);
}

const defaultResponseLimitBytes = 4_194_304;

const lowestStatus = 100;
const highestStatus = 599;

const keyStatusSchema = z.object({
    executed: z.enum(["no", "yes"]),
    response: z.object({
        status: z.int().min(lowestStatus).max(highestStatus),
        headers: z.record(z.string(), z.string()),
        body: z.base64(),
    }).optional(),
});

type Answer<T> = Outcome<T, EndpointIssue>;

class HttpServiceDriver implements ClosableServiceDriver {
    readonly #clock: Clock;
    readonly #limitBytes: number;
    readonly #connections = new EndpointConnections();

    constructor(options: ServiceDriverOptions) {
        this.#clock = options.clock;
        this.#limitBytes = options.responseLimitBytes ?? defaultResponseLimitBytes;
    }

    async send(
        address: string,
        request: ServiceRequest,
        options: { readonly timeoutMs: number; readonly signal?: AbortSignal; },
    ): Promise<Answer<ServiceResponse>> {
        const answer = await this.#exchange(address, request, options);
        if (!answer.ok) {
            return answer;
        }
        const { response, headers } = answer.value;
        if (isDeclaredNotRun(headers)) {
            const code = response.status === 429 ? "endpoint.overloaded" : "endpoint.refused";
            const message = `The endpoint '${address}' refused the request with status ${response.status} before it ran.`;
            return failure({ code, executed: "no", message });
        }
        const answeredId = response.headers["x-request-id"];
        if (answeredId !== undefined && answeredId !== request.requestId) {
            return failure(foreignReply(address, request.requestId, answeredId));
        }
        return success(response);
    }

    async queryKey(
        address: string,
        idempotencyKey: IdempotencyKey,
        options: { readonly timeoutMs: number; },
    ): Promise<Answer<{ readonly executed: "no" | "yes"; readonly response?: ServiceResponse; }>> {
        const path = `/v1/keys/${encodeURIComponent(idempotencyKey)}`;
        const query = { method: "GET", path, headers: {}, body: new Uint8Array() };
        const answer = await this.#exchange(address, query, options);
        if (!answer.ok) {
            return answer;
        }
        const status = answer.value.response.status === 200 ? parseKeyStatus(answer.value.response.body) : undefined;
        if (status === undefined) {
            const message = `The endpoint '${address}' gave no usable answer to the status query.`;
            return failure({ code: "endpoint.invalid", executed: "unknown", message });
        }
        const { executed, response } = status;
        const body = response === undefined ? undefined : Buffer.from(response.body, "base64");
        return success(
            response === undefined || body === undefined ? { executed } : { executed, response: { ...response, body } },
        );
    }

    stop(): Promise<void> {
        return this.#connections.close();
    }

    async #exchange(
        address: string,
        request: Omit<ServiceRequest, "requestId"> & { readonly requestId?: string; },
        options: { readonly timeoutMs: number; readonly signal?: AbortSignal; },
    ): Promise<Answer<{ response: ServiceResponse; headers: EndpointResponse["headers"]; }>> {
        const attempt: Attempt = { isStarted: false, isTimedOut: false };
        const controller = new AbortController();
        const cancel = this.#clock.afterInput(options.timeoutMs, () => {
            attempt.isTimedOut = true;
            this.#connections.renew(address);
            controller.abort(new Error(`no complete answer came within ${options.timeoutMs} ms.`));
        });
        const signal = options.signal === undefined ? controller.signal : AbortSignal.any([controller.signal, options.signal]);
        try {
            const data = await this.#connections.send(address, {
                method: request.method,
                path: request.path,
                headers: requestHeaders(request),
                signal,
                attempt,
                isFresh: request.idempotencyKey !== undefined,
                ...(request.body.length === 0 ? {} : { body: request.body }),
            });
            const body = await readBody(data.body, this.#limitBytes);
            if (data.statusCode < lowestStatus || data.statusCode > highestStatus) {
                const message = `The endpoint '${address}' answered with the status ${data.statusCode}, which HTTP doesn't have.`;
                return failure({ code: "endpoint.invalid", executed: "unknown", message });
            }
            return success({
                response: { status: data.statusCode, headers: plainHeaders(data.headers), body },
                headers: data.headers,
            });
        }
        catch (error) {
            return failure(failedAttempt(address, attempt, error));
        }
        finally {
            cancel();
        }
    }
}

/** Headers that are not passed on in either direction; the library sets some of them itself. */
const droppedHeaders: ReadonlySet<string> = new Set([
    ...connectionHeaders,
    "expect",
    "host",
    "proxy-authenticate",
    "proxy-authorization",
]);

function requestHeaders(request: Omit<ServiceRequest, "requestId"> & { readonly requestId?: string; }): Record<string, string> {
    const { idempotencyKey, fencingToken, requestId } = request;
    return {
        ...withoutConnectionHeaders(Object.entries(request.headers)),
        ...(requestId === undefined ? {} : { "x-request-id": requestId }),
        ...(idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey }),
        ...(fencingToken === undefined ? {} : { "x-fencing-token": String(fencingToken) }),
    };
}

function plainHeaders(headers: EndpointResponse["headers"]): Record<string, string> {
    const entries = Object.entries(headers).flatMap(([name, value]): [string, string][] =>
        value === undefined ? [] : [[name, Array.isArray(value) ? value.join(", ") : value]]
    );
    return withoutConnectionHeaders(entries);
}

function withoutConnectionHeaders(entries: readonly [string, string][]): Record<string, string> {
    const lowerCase = entries.map(([name, value]): [string, string] => [name.toLowerCase(), value]);
    return Object.fromEntries(lowerCase.filter(([name]) => !droppedHeaders.has(name)));
}

function foreignReply(address: string, requestId: string, answeredId: string): EndpointIssue {
    const message = `The endpoint '${address}' answered request '${answeredId}' instead of '${requestId}'.`;
    return { code: "endpoint.invalid", executed: "unknown", message };
}

function parseKeyStatus(body: Uint8Array): z.infer<typeof keyStatusSchema> | undefined {
    try {
        return keyStatusSchema.safeParse(JSON.parse(Buffer.from(body).toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}
