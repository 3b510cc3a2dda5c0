import type { Clock } from "@filbertrelay/kernel";
import { Client, DecoratorHandler, Pool, request } from "undici";
import type { buildConnector, Dispatcher } from "undici";
import type { EndpointIssue } from "./engine.js";
import { connectOrderly } from "./orderlysocket.js";

/** What was observed of one HTTP attempt; decides whether `executed: "no"` may be reported. */
export interface Attempt {
    /** True from the moment before the first byte is written. */
    isStarted: boolean;
    /** Set when the silence or the total time limit ended the attempt. */
    isTimedOut: boolean;
}

/** One HTTP request to an endpoint. */
export interface EndpointCall {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string | Uint8Array;
    readonly signal: AbortSignal;
    readonly attempt: Attempt;
    /** Uses a connection of its own, on which no idle timeout of the endpoint can race with the request. */
    readonly isFresh?: boolean;
}

/** An answer whose body has not been read yet. */
export type EndpointResponse = Dispatcher.ResponseData<unknown>;

/** Pooled connections by endpoint; a stream never waits for another one's connection. */
export class EndpointConnections {
    readonly #pools = new Map<string, Pool>();
    readonly #retired = new Set<Dispatcher>();

    /** Sends a request once. The library repeats nothing that was written. */
    async send(address: string, call: EndpointCall): Promise<EndpointResponse> {
        const dispatcher = call.isFresh === true ? this.#single(address) : this.#pool(address);
        const response = request(`http://${address}${call.path}`, requestOptions(call, dispatcher.compose(observeStart)));
        if (call.isFresh === true) {
            this.#retire(dispatcher);
        }
        return response;
    }

    /** Sends a request whose answer is given to callbacks as it arrives; the handler sees the start by itself. */
    dispatch(
        address: string,
        call: Pick<EndpointCall, "method" | "path" | "headers" | "isFresh"> & { readonly body: string | null; },
        handler: Dispatcher.DispatchHandler,
    ): void {
        const { method, path, headers, body, isFresh } = call;
        const dispatcher = isFresh === true ? this.#single(address) : this.#pool(address);
        dispatcher.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body }, handler);
        if (isFresh === true) {
            this.#retire(dispatcher);
        }
    }

    /** Uses no connection again that is open now, as after a silence: others may be black-holed as well. */
    renew(address: string): void {
        const pool = this.#pools.get(address);
        if (pool !== undefined) {
            this.#pools.delete(address);
            this.#retire(pool);
        }
    }

    async close(): Promise<void> {
        const all = [...this.#pools.values(), ...this.#retired];
        this.#pools.clear();
        await Promise.all(all.map(dispatcher => dispatcher.destroy()));
    }

    #pool(address: string): Pool {
        const existing = this.#pools.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const pool = new Pool(`http://${address}`, { ...clientOptions, connections: null, keepAliveTimeout: 4_000 });
        this.#pools.set(address, pool);
        return pool;
    }

    #single(address: string): Client {
        return new Client(`http://${address}`, { ...clientOptions, pipelining: 1 });
    }

    /** Closes the connections as soon as the requests on them have ended. */
    #retire(dispatcher: Dispatcher): void {
        this.#retired.add(dispatcher);
        const forget = (): void => void this.#retired.delete(dispatcher);
        dispatcher.close().then(forget, forget);
    }
}

// The drivers time calls by the clock that is passed in, so the library's own timeouts are off, except for connecting.
const connectTimeoutMs = 2_000;
const connect: buildConnector.connector = (options, callback) =>
    connectOrderly(options, connectTimeoutMs, (error, socket) => {
        if (socket === null) {
            callback(error ?? new Error("No connection was opened."), null);
        }
        else {
            callback(null, socket);
        }
    });
const clientOptions = { headersTimeout: 0, bodyTimeout: 0, connect };

type Options = Parameters<typeof request>[1];

function requestOptions(call: EndpointCall, dispatcher: Dispatcher): Options {
    return {
        method: call.method as Dispatcher.HttpMethod,
        headers: call.headers,
        body: call.body ?? null,
        signal: call.signal,
        dispatcher,
        opaque: call.attempt,
    };
}

function observeStart(dispatch: Dispatcher.Dispatch): Dispatcher.Dispatch {
    return (options, handler) => {
        const { opaque } = options as { opaque?: Attempt; };
        return dispatch(options, opaque === undefined ? handler : new StartObserver(handler, opaque));
    };
}

class StartObserver extends DecoratorHandler {
    readonly #attempt: Attempt;
    readonly #next: Dispatcher.DispatchHandler;

    constructor(handler: Dispatcher.DispatchHandler, attempt: Attempt) {
        super(handler);
        this.#attempt = attempt;
        this.#next = handler;
    }

    /** A request that was cancelled before is aborted in this callback, and the library writes nothing of it. */
    onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
        this.#next.onRequestStart?.(controller, context);
        this.#attempt.isStarted ||= !controller.aborted;
    }
}

/** Aborts an attempt when nothing happened for a while; one timer serves any number of chunks. */
export class SilenceTimer {
    /** While set, silence is not counted because the reader itself stopped reading. */
    isHeld = false;
    readonly #clock: Clock;
    readonly #limitMs: number;
    readonly #expire: () => void;
    #lastMs: number;
    #cancel: () => void;

    constructor(clock: Clock, limitMs: number, expire: () => void) {
        this.#clock = clock;
        this.#limitMs = limitMs;
        this.#expire = expire;
        this.#lastMs = clock.monotonicMs();
        this.#cancel = clock.afterInput(limitMs, () => this.#check());
    }

    /** Notes that something arrived. */
    touch(): void {
        this.#lastMs = this.#clock.monotonicMs();
    }

    stop(): void {
        this.#cancel();
    }

    #check(): void {
        if (this.isHeld) {
            this.touch();
        }
        const remainingMs = this.#lastMs + this.#limitMs - this.#clock.monotonicMs();
        if (remainingMs <= 0) {
            this.#expire();
            return;
        }
        this.#cancel = this.#clock.afterInput(remainingMs, () => this.#check());
    }
}

/** The header by which an endpoint says whether it ran a request. */
export const executedHeader = "x-filbertrelay-executed";

/** Describes an attempt that failed before a whole answer was read. */
export function failedAttempt(address: string, attempt: Attempt, error: unknown): EndpointIssue {
    const reason = error instanceof Error ? error.message : String(error);
    if (!attempt.isStarted) {
        const message = `The endpoint '${address}' could not be reached; nothing was sent: ${reason}`;
        return { code: "endpoint.unreachable", executed: "no", message };
    }
    if (attempt.isTimedOut) {
        return { code: "endpoint.silent", executed: "unknown", message: `The endpoint '${address}' was silent: ${reason}` };
    }
    return { code: "endpoint.closed", executed: "unknown", message: `The connection to '${address}' ended early: ${reason}` };
}

/** True if the endpoint says that it refused the request before it ran anything. */
export function isDeclaredNotRun(headers: EndpointResponse["headers"]): boolean {
    return headers[executedHeader] === "no";
}

/** Reads a body up to a limit; throws when it is longer or incomplete. */
export async function readBody(body: AsyncIterable<Buffer>, limitBytes: number): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > limitBytes) {
            throw new Error(`The answer is longer than ${limitBytes} bytes.`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
