import { connectionHeaders } from "@filbertrelay/kernel";
import type { EndpointId } from "@filbertrelay/kernel";
import { AnswerReservation } from "@filbertrelay/policy/ingress";
import type { AttemptFailure } from "@filbertrelay/policy/ingress";
import type { EndpointRecord, HeaderList, ResponseDescription } from "../contract.js";
import { ByteBuffer } from "../endpoint/bytebuffer.js";
import type { ConnectionFailure, EndpointRequest, EndpointResponseHandler } from "../endpoint/connection.js";
import type { EndpointLink } from "../endpoint/link.js";
import { isOwnResponse } from "../endpoint/ownresponse.js";
import type { ResponseHead } from "../endpoint/responseparser.js";
import type { AttemptWay } from "../relay/router.js";
import { AttemptAccount } from "./attemptaccount.js";
import type { RequestBoundary } from "./boundary.js";
import type { RequestContext } from "./context.js";
import { recordStatements } from "./statements.js";
import { StreamReader } from "./streamreader.js";

/** A complete answer of an endpoint; a stream was forwarded already. */
export interface AnsweredResult {
    readonly type: "answered";
    readonly status: number;
    readonly body: Buffer;
    readonly isStream: boolean;
}

/** The result of an attempt. `notRun` guarantees that the endpoint has not executed the request and never will. */
export type AttemptResult =
    | AnsweredResult
    | { readonly type: "notRun"; readonly hasArrived: boolean; readonly detail: string; }
    | { readonly type: "failed"; readonly detail: string; readonly isConnectionLost?: true; };

export interface AttemptOptions {
    readonly requestId: string;
    readonly number: number;
    readonly route: string;
    readonly endpoint: EndpointRecord;
    readonly priority: number;
    readonly tokens: number;
    /** Whether no other prompt was queued at the endpoint when the request was sent. */
    readonly isEndpointIdle: boolean;
    /** Latency objective of the response. */
    readonly objectiveMs: number;
    /** Longest idle time of a connection that is reused, in milliseconds. */
    readonly maximumIdleMs: number;
    /** Time left for the answer, in milliseconds. */
    readonly remainingMs: number;
    readonly way: AttemptWay;
    readonly isStream: boolean;
    /** Whether the service was too slow until now, and this attempt finds out whether it still is. */
    readonly isTrial: boolean;
}

/** Receives the streamed bytes and, once, the result of an attempt; a cancelled attempt has none. */
export interface AttemptHandler {
    onStreamBytes(bytes: Buffer): void;
    onEnd(result: AttemptResult): void;
}

/** Longest response that is buffered before it is forwarded. */
const responseLimitBytes = 8_388_608;
/** Statuses that tell the caller that the request was not executed. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Response headers that are not forwarded. */
const droppedHeaders: ReadonlySet<string> = new Set([...connectionHeaders, "proxy-authenticate"]);
/** Headers that delimit a body. */
const framingHeaders: ReadonlySet<string> = new Set(["content-length", "transfer-encoding"]);

/** One attempt to execute a request on one endpoint. */
export class Attempt implements EndpointResponseHandler {
    readonly startedAt: Date;
    readonly #context: RequestContext;
    readonly #options: AttemptOptions;
    readonly #outgoing: EndpointRequest;
    readonly #account: AttemptAccount;
    #boundary: RequestBoundary | undefined;
    #handler: AttemptHandler | undefined;
    #connection: EndpointLink | undefined;
    #head: ResponseHead | undefined;
    #description: ResponseDescription | undefined;
    readonly #memory: AnswerReservation;
    readonly #body = new ByteBuffer();
    readonly #reader: StreamReader;

    constructor(context: RequestContext, options: AttemptOptions, outgoing: EndpointRequest) {
        this.#context = context;
        this.#options = options;
        this.#outgoing = outgoing;
        this.#account = new AttemptAccount(context, options);
        this.startedAt = context.fleetClock.now();
        this.#memory = new AnswerReservation(context.answerMemory, options.endpoint.endpointId);
        this.#reader = new StreamReader({
            clock: context.clock,
            pauseMs: context.streamPauseMs,
            run: callback => this.#boundary?.run(callback),
            forward: bytes => this.#handler?.onStreamBytes(bytes),
            pause: () => this.#connection?.pause(),
            resume: () => this.#connection?.resume(),
        });
    }

    get endpoint(): EndpointRecord {
        return this.#options.endpoint;
    }

    get way(): AttemptWay {
        return this.#options.way;
    }

    get endpointId(): EndpointId {
        return this.#options.endpoint.endpointId;
    }

    /** Monotonic time at which the request was sent. */
    get sentMs(): number {
        return this.#account.sentMs;
    }

    /** Whether a complete event of the response has arrived. */
    get hasProgress(): boolean {
        return this.#account.hasFirstEvent;
    }

    /** Whether the caller takes no more of the stream, so that nothing is read from the endpoint. */
    get isHeld(): boolean {
        return this.#reader.isHeld;
    }

    get status(): number {
        return this.#head?.status ?? 0;
    }

    /** Whether the body of the response ends with the channel, so that nothing in it shows whether it is whole. */
    get #isDelimitedByClose(): boolean {
        return !(this.#head?.headers ?? []).some(([name]) => framingHeaders.has(name.toLowerCase()));
    }

    /** The response headers without the hop-by-hop ones. */
    get responseHeaders(): HeaderList {
        return (this.#head?.headers ?? []).filter(([name]) => !droppedHeaders.has(name.toLowerCase()));
    }

    /** Sends the request. All callbacks of the connection and of timers run within the boundary. */
    start(boundary: RequestBoundary, handler: AttemptHandler): void {
        const { endpoint, maximumIdleMs, remainingMs, way } = this.#options;
        this.#handler = handler;
        this.#boundary = boundary;
        this.#account.recordSent();
        const relay = way.type === "relay" ? way.relay : undefined;
        this.#connection = this.#context.links.open(endpoint, { maximumIdleMs, remainingMs, relay });
        this.#connection.send(this.#outgoing, {
            onHead: head => {
                let isOwn = false;
                boundary.run(() => {
                    isOwn = this.onHead(head);
                });
                return isOwn;
            },
            onBody: boundary.guard(chunk => this.onBody(chunk)),
            onComplete: boundary.guard(() => this.onComplete()),
            onFailure: boundary.guard(failure => this.onFailure(failure)),
        });
    }

    /** Records that the first event has arrived, which means that the prompt has been processed. */
    recordFirstEvent(): void {
        this.#account.recordFirstEvent();
    }

    /** A stream that breaks off with its channel can look like one that ends; `isWithinEvent` says whether its last event is cut. */
    checkComplete(result: AttemptResult, isWithinEvent: boolean): AttemptResult {
        if (result.type === "answered" && result.isStream) {
            if (isWithinEvent) {
                return { type: "failed", detail: "the stream ended within an event", isConnectionLost: true };
            }
            if (!this.#account.hasFirstEvent && this.#isDelimitedByClose) {
                return { type: "failed", detail: "the stream ended with its channel before any event", isConnectionLost: true };
            }
        }
        return result;
    }

    /** Ends the attempt with a failure of the endpoint, or `undefined` for one of the link to it, and closes the connection. */
    fail(failure: AttemptFailure | "malformed" | undefined, detail: string): void {
        this.#reader.flush();
        this.#finish({ type: "failed", detail }, failure === "malformed" ? "broken" : failure);
        this.#connection?.close(detail);
    }

    /** Counts the attempt as load of its endpoint no longer, since it waits for a link and not for the endpoint. */
    dropLoad(): void {
        this.#account.dropLoad();
    }

    /** Ends the attempt without a result, because the response is no longer needed. */
    cancel(): void {
        if (this.#handler !== undefined) {
            this.#handler = undefined;
            this.#reader.end();
            this.#memory.release();
            this.#account.recordCancelled();
            this.#connection?.close("The request was cancelled.");
        }
    }

    /** Stops reading from the endpoint until `resume`, for backpressure from the caller. */
    pause(): void {
        this.#reader.hold();
    }

    resume(): void {
        this.#reader.continue();
    }

    /** Rejects a response with another request id: a late duplicate of an earlier response on the connection. */
    onHead(head: ResponseHead): boolean {
        const description = this.#context.dialect.describeResponse(head.status, head.headers);
        const isOwn = isOwnResponse(description, head.status, this.#options.requestId);
        this.#account.recordHeard();
        if (isOwn) {
            this.#head = head;
            this.#description = description;
            recordStatements(this.#context, this.endpoint, description);
        }
        return isOwn;
    }

    onBody(chunk: Buffer): void {
        this.#account.recordHeard();
        if (this.#isForwardedStream()) {
            this.#receiveStream(chunk);
            return;
        }
        if (this.#body.length + chunk.length > responseLimitBytes) {
            this.fail("malformed", "The answer is too long.");
        }
        else if (this.holdBytes(this.#body.capacityWith(chunk.length))) {
            this.#body.append(chunk);
        }
    }

    /** Reserves memory for what is buffered of the answer; returns false, with the attempt ended, when the host has not enough. */
    holdBytes(bytes: number): boolean {
        const refusal = this.#memory.resize(bytes);
        if (refusal !== undefined) {
            const holder = refusal === "endpoint" ? "this endpoint" : "all endpoints";
            this.fail(refusal === "endpoint" ? "malformed" : "error", `The answers of ${holder} need too much memory.`);
        }
        return refusal === undefined;
    }

    onComplete(): void {
        this.#reader.flush();
        const { status } = this;
        const description = this.#description;
        if (this.#mayBeStale()) {
            this.#finish(
                { type: "failed", detail: `Status ${status} names no request on a connection that was in use before.` },
                "broken",
            );
        }
        else if (description?.isNotExecuted === true) {
            this.#finish(
                { type: "notRun", hasArrived: true, detail: `The endpoint refused with status ${status}.` },
                undefined,
            );
        }
        else if (this.#isSuccess() && (description?.isSigned !== true || this.#isEncoded())) {
            this.#finish({ type: "failed", detail: "A success is not signed or is encoded." }, "broken");
        }
        else if (notExecutedStatuses.has(status)) {
            // Forwarding this status would claim that the request was not executed, which the endpoint did not state.
            this.#finish({ type: "failed", detail: `Status ${status} without a statement that it was not run.` }, "error");
        }
        else {
            const failure = status >= 500 ? "error" : undefined;
            this.#finish(
                { type: "answered", status, body: this.#body.take(), isStream: this.#isForwardedStream() },
                failure,
            );
        }
    }

    onFailure({ reason, wasSent, detail, isRefused, relay }: ConnectionFailure): void {
        if (isRefused) {
            this.#context.recordRefusal(this.endpoint);
        }
        this.#reader.flush();
        if (!wasSent) {
            this.#finish({ type: "notRun", hasArrived: false, detail }, relay === undefined ? "unreachable" : undefined);
        }
        else {
            // Whether a relay or its connection to the endpoint broke off, the endpoint itself may be sound.
            const isLost = (reason === "reset" || reason === "truncated") && this.way.type === "direct";
            this.#finish(
                { type: "failed", detail: `${reason}: ${detail}`, ...(isLost ? { isConnectionLost: true } : {}) },
                relay === undefined ? "broken" : undefined,
            );
        }
    }

    #finish(result: AttemptResult, failure: AttemptFailure | undefined): void {
        const handler = this.#handler;
        if (handler === undefined) {
            return;
        }
        this.#handler = undefined;
        this.#reader.end();
        this.#memory.release();
        this.#account.recordEnd(result, failure);
        handler.onEnd(result);
    }

    /** Forwards bytes at once until the first event is complete, then in steps. */
    #receiveStream(chunk: Buffer): void {
        if (this.#account.hasFirstEvent) {
            this.#reader.receive(chunk);
        }
        else {
            this.#handler?.onStreamBytes(chunk);
        }
    }

    #isSuccess(): boolean {
        return this.status >= 200 && this.status < 300;
    }

    /**
     * Whether the response may be a late duplicate of the response to an earlier request. A duplicate refusal taken for this
     * request's response would have the request executed a second time on another endpoint.
     */
    #mayBeStale(): boolean {
        return this.#description?.requestId === undefined && this.#connection?.isReused === true;
    }

    #isForwardedStream(): boolean {
        return this.#options.isStream && this.#isSuccess() && this.#description?.isSigned === true &&
            !this.#isEncoded();
    }

    #isEncoded(): boolean {
        return this.#head?.headers.some(([name]) => name.toLowerCase() === "content-encoding") === true;
    }
}
