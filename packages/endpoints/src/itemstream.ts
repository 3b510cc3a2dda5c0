import type { Clock, RequestId } from "@filbertrelay/kernel";
import type { Dispatcher } from "undici";
import { failedAttempt, SilenceTimer } from "./connection.js";
import type { Attempt, EndpointConnections, EndpointResponse } from "./connection.js";
import type { EndpointIssue, EngineItem } from "./engine.js";
import { EngineStreamReader } from "./enginestream.js";

/** One streamed call to an engine. */
export interface StreamCall {
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: string;
    /** Uses a connection of its own. */
    readonly isFresh?: boolean;
    readonly requestId: RequestId;
    /** Tokens of the answer that are already known. */
    readonly offset: number;
    readonly silenceMs: number;
    readonly signal?: AbortSignal;
}

/** What the stream needs from the driver. */
export interface StreamContext {
    readonly clock: Clock;
    readonly connections: EndpointConnections;
    /** Refines an issue after the connection was lost. */
    readonly explain: (issue: EndpointIssue) => Promise<EndpointIssue>;
    /** Describes an answer that is no stream. */
    readonly refusal: (status: number, headers: EndpointResponse["headers"], text: string) => EndpointIssue;
}

// A consumer that is this many tokens behind stops the reading of the connection.
const highWaterItems = 256;
const lowWaterItems = 64;
const refusalLimitBytes = 65_536;

/**
 * Reads an engine's stream. The library's callbacks are used in place of its body stream, because the
 * stream's and async generators' cost per chunk was most of the driver's processor time.
 */
export class EngineItemStream implements AsyncIterableIterator<EngineItem> {
    readonly #call: StreamCall;
    readonly #context: StreamContext;
    readonly #attempt: Attempt = { isStarted: false, isTimedOut: false };
    readonly #reader: EngineStreamReader;
    readonly #decoder = new TextDecoder();
    readonly #abortListener = (): void => this.#abort(new Error("the caller cancelled the request."));
    #queue: EngineItem[] = [];
    #waiter: ((result: IteratorResult<EngineItem, undefined>) => void) | undefined;
    #controller: Dispatcher.DispatchController | undefined;
    #timer: SilenceTimer | undefined;
    #refusal: { readonly status: number; readonly headers: EndpointResponse["headers"]; text: string; } | undefined;
    /** No more items will be queued. */
    #isEnded = false;
    /** The attempt failed; its issue may still wait for an explanation. */
    #isFailed = false;
    #abortReason: Error | undefined;

    constructor(call: StreamCall, context: StreamContext) {
        this.#call = call;
        this.#context = context;
        this.#reader = new EngineStreamReader(call.requestId, call.offset);
    }

    [Symbol.asyncIterator](): this {
        return this;
    }

    next(): Promise<IteratorResult<EngineItem, undefined>> {
        this.#start();
        const item = this.#queue.shift();
        if (item !== undefined) {
            this.#resumeReading();
            return Promise.resolve({ done: false, value: item });
        }
        if (this.#isEnded) {
            return Promise.resolve({ done: true, value: undefined });
        }
        return new Promise(resolve => {
            this.#waiter = resolve;
        });
    }

    return(): Promise<IteratorResult<EngineItem, undefined>> {
        const isFinished = this.#isEnded;
        this.#end();
        this.#queue = [];
        if (!isFinished) {
            this.#abort(new Error("the reader stopped."));
        }
        return Promise.resolve({ done: true, value: undefined });
    }

    #start(): void {
        if (this.#timer !== undefined || this.#isEnded) {
            return;
        }
        const { clock, connections } = this.#context;
        const { address, method, path, headers, body, isFresh, silenceMs, signal } = this.#call;
        this.#timer = new SilenceTimer(clock, silenceMs, () => this.#onSilence());
        if (signal?.aborted === true) {
            this.#abortListener();
            return;
        }
        signal?.addEventListener("abort", this.#abortListener, { once: true });
        try {
            connections.dispatch(
                address,
                { method, path, headers, body: body ?? null, isFresh: isFresh === true },
                this.#handler(),
            );
        }
        catch (error) {
            this.#fail(error instanceof Error ? error : new Error(String(error)));
        }
    }

    #handler(): Dispatcher.DispatchHandler {
        return {
            onRequestStart: controller => this.#onRequestStart(controller),
            onResponseStart: (...[, status, headers]) => {
                this.#timer?.touch();
                this.#refusal = status === 200 ? undefined : { status, headers, text: "" };
            },
            onResponseData: (...[, chunk]) => this.#onData(chunk),
            onResponseEnd: () => this.#onEnd(),
            onResponseError: (...[, error]) => this.#fail(this.#abortReason ?? error),
        };
    }

    /** An abort in this callback keeps the library from writing the request. */
    #onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.#abortReason !== undefined || this.#isEnded) {
            controller.abort(this.#abortReason ?? new Error("the reader stopped."));
            return;
        }
        this.#attempt.isStarted = true;
        this.#controller = controller;
    }

    #onData(chunk: Buffer): void {
        this.#timer?.touch();
        const text = this.#decoder.decode(chunk, { stream: true });
        if (this.#refusal !== undefined) {
            this.#refusal.text += this.#refusal.text.length < refusalLimitBytes ? text : "";
            return;
        }
        if (this.#isEnded || this.#isFailed) {
            return;
        }
        for (const item of this.#reader.feed(text)) {
            this.#push(item);
        }
        if (this.#reader.isFinished) {
            this.#end();
            this.#closeAfterFault();
        }
        else if (this.#queue.length > highWaterItems) {
            this.#pauseReading();
        }
    }

    /** A connection that carried an invalid event is not used again. */
    #closeAfterFault(): void {
        if (this.#reader.hasFailed) {
            this.#abort(new Error("the stream is invalid."));
        }
    }

    /** The connection goes back to the pool only after the whole answer was read. */
    #onEnd(): void {
        this.#timer?.stop();
        if (this.#refusal !== undefined && !this.#isEnded) {
            const { status, headers, text } = this.#refusal;
            this.#push({ type: "issue", issue: this.#context.refusal(status, headers, text) });
            this.#end();
            return;
        }
        this.#fail(new Error("the stream ended before the answer was finished."));
    }

    #onSilence(): void {
        this.#attempt.isTimedOut = true;
        this.#context.connections.renew(this.#call.address);
        this.#abort(new Error(`nothing arrived for ${this.#call.silenceMs} ms.`));
    }

    #abort(reason: Error): void {
        this.#abortReason ??= reason;
        this.#controller?.abort(this.#abortReason);
        this.#fail(this.#abortReason);
    }

    #fail(error: Error): void {
        this.#timer?.stop();
        if (this.#isEnded || this.#isFailed) {
            return;
        }
        this.#isFailed = true;
        const issue = failedAttempt(this.#call.address, this.#attempt, error);
        if (issue.code !== "endpoint.closed" || this.#call.signal?.aborted === true) {
            this.#finish(issue);
            return;
        }
        void this.#context.explain(issue).then(explained => this.#finish(explained), () => this.#finish(issue));
    }

    #finish(issue: EndpointIssue): void {
        if (!this.#isEnded) {
            this.#push({ type: "issue", issue });
            this.#end();
        }
    }

    #push(item: EngineItem): void {
        const waiter = this.#waiter;
        if (waiter === undefined) {
            this.#queue.push(item);
            return;
        }
        this.#waiter = undefined;
        waiter({ done: false, value: item });
    }

    #end(): void {
        this.#isEnded = true;
        this.#call.signal?.removeEventListener("abort", this.#abortListener);
        const waiter = this.#waiter;
        this.#waiter = undefined;
        waiter?.({ done: true, value: undefined });
    }

    #pauseReading(): void {
        if (this.#controller?.paused === false && this.#timer !== undefined) {
            this.#timer.isHeld = true;
            this.#controller.pause();
        }
    }

    #resumeReading(): void {
        if (this.#controller?.paused === true && this.#queue.length < lowWaterItems && this.#timer !== undefined) {
            this.#timer.isHeld = false;
            this.#timer.touch();
            this.#controller.resume();
        }
    }
}
