import type { Clock } from "@filbertrelay/kernel";
import { Agent, Client, DecoratorHandler, request } from "undici";
import type { Dispatcher } from "undici";
import type { EndpointIssue } from "./engine.js";

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

/** Pooled connections to endpoints; a stream never waits for another one's connection. */
export class EndpointConnections {
    readonly #agent = new Agent({ ...clientOptions, connections: null, keepAliveTimeout: 4_000 });
    readonly #pooled = this.#agent.compose(observeStart);

    /** Sends a request once. The library repeats nothing that was written. */
    async send(address: string, call: EndpointCall): Promise<EndpointResponse> {
        if (call.isFresh !== true) {
            return request(`http://${address}${call.path}`, requestOptions(call, this.#pooled));
        }
        const client = new Client(`http://${address}`, { ...clientOptions, pipelining: 1 });
        try {
            const response = await request(`http://${address}${call.path}`, requestOptions(call, client.compose(observeStart)));
            response.body.once("close", () => void client.destroy().catch(() => undefined));
            return response;
        }
        catch (error) {
            await client.destroy();
            throw error;
        }
    }

    /** Sends a request whose answer is given to callbacks as it arrives; the handler sees the start by itself. */
    dispatch(
        address: string,
        call: Pick<EndpointCall, "method" | "path" | "headers"> & { readonly body: string | null; },
        handler: Dispatcher.DispatchHandler,
    ): void {
        const { method, path, headers, body } = call;
        this.#agent.dispatch(
            { origin: `http://${address}`, method: method as Dispatcher.HttpMethod, path, headers, body },
            handler,
        );
    }

    async close(): Promise<void> {
        await this.#agent.destroy();
    }
}

// The drivers time calls by the clock that is passed in, so the library's own timeouts are off, except for connecting.
const clientOptions = { headersTimeout: 0, bodyTimeout: 0, connect: { timeout: 2_000 } };

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
        this.#cancel = clock.after(limitMs, () => this.#check());
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
        this.#cancel = this.#clock.after(remainingMs, () => this.#check());
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
