import { brandAs } from "@filbertrelay/kernel";
import type { RequestId } from "@filbertrelay/kernel";
import type { EndpointRecord } from "../contract.js";
import type { AdmittedRequest } from "./admitted.js";
import type { RequestContext } from "./context.js";

/** The version of an endpoint whose entry may describe an earlier run; a stream that begins there goes on nowhere else. */
const unknownVersion = "\u0000unknown";

/**
 * Binds a stream to the software version of the endpoint that began it, within one response and over the requests with which its
 * caller comes back. What two versions write does not fit together.
 */
export class StreamContinuation {
    readonly #context: RequestContext;
    readonly #request: AdmittedRequest;
    readonly #end: () => void;
    #version: string | undefined;
    #close: (() => void) | undefined;

    /** `end` ends the response, because the caller has come back with another request for the same stream. */
    constructor(context: RequestContext, request: AdmittedRequest, end: () => void) {
        this.#context = context;
        this.#request = request;
        this.#end = end;
    }

    /** Whether the request continues a stream that an earlier one began. */
    get isResumed(): boolean {
        const { route, description } = this.#request;
        return route.kind === "stream" && route.isResumable && description.lastEventId !== undefined;
    }

    /** Whether the rest of the answer can only come from one version. */
    get isBound(): boolean {
        return this.#version !== undefined;
    }

    /** Finds the version that began the stream of a resumed request; resolves with whether it is known. */
    async find(): Promise<boolean> {
        const { service, route: { timeLimitMs } } = this.#request;
        this.#version = await this.#context.streamVersions.find({ requestId: this.#formerId, service, timeLimitMs });
        return this.#version !== undefined && this.#version !== unknownVersion;
    }

    /** Ends the response to the former request, if it is still open; called when this request is sent to its first endpoint. */
    takeOver(): void {
        if (this.isResumed && this.#formerId !== undefined) {
            this.#context.streamVersions.endOpen(this.#formerId);
        }
    }

    /** The request that brought the first event of a resumed stream. */
    get #formerId(): RequestId | undefined {
        const { resumedRequestId } = this.#request.description;
        return resumedRequestId === undefined ? undefined : this.#scope(resumedRequestId);
    }

    /** Whether the stream may go on, or begin, at an endpoint. */
    accepts(endpoint: EndpointRecord): boolean {
        if (this.#version === undefined) {
            return true;
        }
        const version = this.#versionOf(endpoint, this.#context.clock.monotonicMs());
        return version !== unknownVersion && version === this.#version;
    }

    /** The version that writes an answer which begins at a time. */
    #versionOf(endpoint: EndpointRecord, beganMs: number): string {
        const { runs, storeConfirmedMs } = this.#context;
        return runs.isKnown(endpoint, beganMs, storeConfirmedMs()) ? endpoint.softwareVersion : unknownVersion;
    }

    /** Records that the caller gets an event that an endpoint has written; the request was sent there at a monotonic time. */
    recordEvent(endpoint: EndpointRecord, sentMs: number): void {
        const { service } = endpoint;
        const { route: { kind, isResumable, timeLimitMs }, description, requestId } = this.#request;
        const firstId = this.isResumed ? description.resumedRequestId ?? requestId : requestId;
        this.#version ??= this.#versionOf(endpoint, sentMs);
        if (kind === "stream" && isResumable && this.#close === undefined) {
            const begun = { service, version: this.#version, timeLimitMs, end: this.#end };
            this.#close = this.#context.streamVersions.recordBegin(this.#scope(firstId), begun);
        }
    }

    /** Customers choose request ids by themselves, so an id means nothing for another customer. */
    #scope(requestId: string): RequestId {
        return brandAs<RequestId>(`${this.#request.customer?.name ?? ""}/${requestId}`);
    }

    /** Called when the response has ended. */
    close(): void {
        this.#close?.();
    }
}
