import { connectionHeaders } from "@filbertrelay/kernel";
import type { EndpointId } from "@filbertrelay/kernel";
import type { AttemptFailure } from "@filbertrelay/policy/ingress";
import type { EndpointRecord, HeaderList, ResponseDescription } from "../contract.js";
import type { AnswerHandler, ChannelFailure, ChannelRequest, EndpointChannel } from "../endpoint/channel.js";
import type { ResponseHead } from "../endpoint/responseparser.js";
import type { RequestContext } from "./context.js";

/** How an attempt ended. After `notRun` the endpoint has not run the request and never will. */
export type AttemptEnd =
    | { readonly type: "answered"; readonly status: number; readonly body: Buffer; readonly isStream: boolean; }
    | { readonly type: "notRun"; readonly hasArrived: boolean; readonly detail: string; }
    | { readonly type: "failed"; readonly detail: string; };

/** What an attempt is made for. */
export interface AttemptOptions {
    readonly requestId: string;
    readonly number: number;
    readonly endpoint: EndpointRecord;
    readonly priority: number;
    readonly tokens: number;
    /** No other prompt waited at the endpoint when the request was sent. */
    readonly isAloneAtStart: boolean;
    readonly isRepeatable: boolean;
    readonly isStream: boolean;
}

/** Receives what an attempt yields; ends with one call of `onEnd`. */
export interface AttemptHandler {
    onStreamBytes(bytes: Buffer): void;
    onEnd(end: AttemptEnd): void;
}

/**
 * Events behind the first one are passed on at most this often. Each write costs a small host about 0.2 ms of its processor; the
 * users accept 200 ms between an engine and a caller.
 */
const gatherMs = 60;
/** A request that must not be repeated is not sent on a connection that has been idle for longer, since it may be closing. */
const freshIdleMs = 3_000;
/** Longest answer that is kept in memory before it is passed on. */
const answerLimitBytes = 8_388_608;
/** Statuses by which an endpoint or this host promises that a request has not run. */
const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Headers of an answer that are not passed on. */
const droppedHeaders: ReadonlySet<string> = new Set([...connectionHeaders, "proxy-authenticate"]);

/** One sending of a request to one endpoint. */
export class Attempt implements AnswerHandler {
    readonly startedAt: Date;
    readonly #context: RequestContext;
    readonly #options: AttemptOptions;
    readonly #outgoing: ChannelRequest;
    readonly #loadKey: string;
    readonly #sentMs: number;
    #handler: AttemptHandler | undefined;
    #channel: EndpointChannel | undefined;
    #head: ResponseHead | undefined;
    #description: ResponseDescription | undefined;
    #body: Buffer[] = [];
    #bodyBytes = 0;
    #hasFirstEvent = false;
    #gathered: Buffer[] = [];
    #cancelGathering: () => void = () => undefined;

    constructor(context: RequestContext, options: AttemptOptions, outgoing: ChannelRequest) {
        this.#context = context;
        this.#options = options;
        this.#outgoing = outgoing;
        this.#loadKey = `${options.requestId}#${options.number}`;
        this.#sentMs = context.clock.monotonicMs();
        this.startedAt = context.fleetClock.now();
    }

    get endpointId(): EndpointId {
        return this.#options.endpoint.endpointId;
    }

    get status(): number {
        return this.#head?.status ?? 0;
    }

    /** The answer's headers without those of the connection. */
    get responseHeaders(): HeaderList {
        return (this.#head?.headers ?? []).filter(([name]) => !droppedHeaders.has(name.toLowerCase()));
    }

    start(handler: AttemptHandler): void {
        const { loads, channels } = this.#context;
        const { endpoint, priority, tokens, isRepeatable } = this.#options;
        this.#handler = handler;
        loads.recordDispatch({ requestId: this.#loadKey, endpointId: endpoint.endpointId, priority, tokens });
        this.#channel = channels.take(endpoint, isRepeatable ? Infinity : freshIdleMs);
        this.#channel.send(this.#outgoing, this);
    }

    /** Notes that the first event has arrived, so that the prompt is computed. */
    recordFirstEvent(): void {
        if (!this.#hasFirstEvent) {
            this.#hasFirstEvent = true;
            this.#context.loads.recordFirstEvent(this.#loadKey);
            if (this.#options.isAloneAtStart) {
                const startMs = this.#context.clock.monotonicMs() - this.#sentMs;
                this.#context.timings.recordStart(this.#options.endpoint.service, startMs, this.#options.tokens);
            }
        }
    }

    /** Gives the endpoint up as failed. */
    abandon(failure: AttemptFailure | "malformed", detail: string): void {
        this.#passOnGathered();
        this.#finish({ type: "failed", detail }, failure === "malformed" ? "broken" : failure);
        this.#channel?.close(detail);
    }

    /** Ends the attempt because nobody waits for its answer any more. */
    cancel(): void {
        if (this.#handler !== undefined) {
            this.#handler = undefined;
            this.#cancelGathering();
            this.#context.loads.recordEnd(this.#loadKey);
            this.#channel?.close("Nobody waits for the answer.");
        }
    }

    /** Stops reading until `resume`, because the caller does not take more. */
    pause(): void {
        this.#channel?.pause();
    }

    resume(): void {
        this.#channel?.resume();
    }

    /** An answer that names another request is an endpoint's late second one. */
    onHead(head: ResponseHead): boolean {
        const description = this.#context.dialect.describeResponse(head.status, head.headers);
        const { requestId } = description;
        const isOwn = requestId === undefined ? head.status < 200 || head.status >= 300 : requestId === this.#options.requestId;
        if (isOwn) {
            this.#head = head;
            this.#description = description;
        }
        return isOwn;
    }

    onBody(chunk: Buffer): void {
        if (this.#isLiveStream()) {
            this.#receiveStream(chunk);
            return;
        }
        this.#body.push(chunk);
        this.#bodyBytes += chunk.length;
        if (this.#bodyBytes > answerLimitBytes) {
            this.abandon("malformed", "The answer is too long.");
        }
    }

    onComplete(): void {
        this.#passOnGathered();
        const { status } = this;
        const description = this.#description;
        if (this.#isDoubtful()) {
            this.#finish(
                { type: "failed", detail: `Status ${status} names no request on a connection that was in use before.` },
                "broken",
            );
        }
        else if (description?.isNotExecuted === true) {
            this.#finish({ type: "notRun", hasArrived: true, detail: `The endpoint refused with status ${status}.` }, undefined);
        }
        else if (this.#isSuccess() && (description?.isSigned !== true || this.#isEncoded())) {
            this.#finish({ type: "failed", detail: "A success is not signed or is encoded." }, "broken");
        }
        else if (promiseStatuses.has(status)) {
            // Passing this status on would promise that the request has not run, which the endpoint did not say.
            this.#finish({ type: "failed", detail: `Status ${status} without a statement that it was not run.` }, "error");
        }
        else {
            const failure = status >= 500 ? "error" : undefined;
            this.#finish({ type: "answered", status, body: Buffer.concat(this.#body), isStream: this.#isLiveStream() }, failure);
        }
    }

    onFailure({ reason, wasSent, detail }: ChannelFailure): void {
        this.#passOnGathered();
        if (!wasSent) {
            this.#finish({ type: "notRun", hasArrived: false, detail }, "unreachable");
        }
        else {
            this.#finish({ type: "failed", detail: `${reason}: ${detail}` }, "broken");
        }
    }

    #finish(end: AttemptEnd, failure: AttemptFailure | undefined): void {
        const handler = this.#handler;
        if (handler === undefined) {
            return;
        }
        this.#handler = undefined;
        this.#cancelGathering();
        const { loads, health, clock, timings } = this.#context;
        const { endpoint } = this.#options;
        loads.recordEnd(this.#loadKey);
        const nowMs = clock.monotonicMs();
        if (failure !== undefined) {
            health.recordFailure(endpoint.endpointId, failure, nowMs);
        }
        else if (end.type === "answered") {
            health.recordSuccess(endpoint.endpointId);
            timings.recordHold(endpoint.service, nowMs - this.#sentMs);
        }
        handler.onEnd(end);
    }

    /** Passes the first event on at once; what follows gathers for a moment, so that several events cost one write. */
    #receiveStream(chunk: Buffer): void {
        if (!this.#hasFirstEvent) {
            this.#handler?.onStreamBytes(chunk);
            return;
        }
        this.#gathered.push(chunk);
        if (this.#gathered.length === 1) {
            this.#cancelGathering = this.#context.clock.after(gatherMs, () => this.#passOnGathered());
        }
    }

    #passOnGathered(): void {
        this.#cancelGathering();
        const gathered = this.#gathered;
        this.#gathered = [];
        if (gathered.length > 0) {
            this.#handler?.onStreamBytes(Buffer.concat(gathered));
        }
    }

    #isSuccess(): boolean {
        return this.status >= 200 && this.status < 300;
    }

    /**
     * Whether the answer may be a late second copy of the answer to an earlier request. Taken for this one's, a refusal would have
     * it run again elsewhere.
     */
    #isDoubtful(): boolean {
        return this.#description?.requestId === undefined && this.#channel?.isReused === true;
    }

    #isLiveStream(): boolean {
        return this.#options.isStream && this.#isSuccess() && this.#description?.isSigned === true &&
            !this.#isEncoded();
    }

    #isEncoded(): boolean {
        return this.#head?.headers.some(([name]) => name.toLowerCase() === "content-encoding") === true;
    }
}
