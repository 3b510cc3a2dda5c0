import type { HostId } from "@filbertrelay/kernel";
import type { PeerIssue, PeerNetwork } from "@filbertrelay/wire";
import type { EndpointRecord } from "../contract.js";
import type { ConnectionFailure, EndpointRequest, EndpointResponseHandler } from "../endpoint/connection.js";
import type { EndpointLink } from "../endpoint/link.js";
import { relayTopic, toPairs } from "./message.js";
import type { RelayPortion, RelayRefusal } from "./message.js";

/** How a relayed request ended for the calling host; `unsent` and `lost` are failures of the relay. */
export type RelayResult = "answered" | "failed" | "cancelled" | "unsent" | "lost" | RelayRefusal;

/** Options of `RelayedLink`. */
export interface RelayedLinkOptions {
    readonly peers: PeerNetwork;
    /** The host that sends the request to the endpoint. */
    readonly relay: HostId;
    readonly endpoint: EndpointRecord;
    /** Longest idle time of a connection that is reused, in milliseconds. */
    readonly maximumIdleMs: number;
    /** Time after which the answer is not needed any longer, in milliseconds. */
    readonly remainingMs: number;
    /** Called once. */
    readonly onEnd: (result: RelayResult, detail: string) => void;
}

/** Hosts are a few milliseconds apart; a request that has not left by then goes another way. */
const sendTimeoutMs = 400;
/** The relay ends a request when its time is over; it is taken for lost this long after that. */
const overtimeMs = 1_000;

/** Sends a request to an endpoint through another host. */
export class RelayedLink implements EndpointLink {
    readonly isRelayed = true;
    readonly #options: RelayedLinkOptions;
    readonly #cancellation = new AbortController();
    #handler: EndpointResponseHandler | undefined;
    #isReused = false;
    #isSending = false;
    #isEnded = false;
    #isSkipping = false;
    #isPaused = false;
    #onResumed: (() => void) | undefined;

    constructor(options: RelayedLinkOptions) {
        this.#options = options;
    }

    get isReused(): boolean {
        return this.#isReused;
    }

    send(request: EndpointRequest, handler: EndpointResponseHandler): void {
        this.#handler = handler;
        this.#isSending = true;
        void this.#receive(request);
    }

    pause(): void {
        this.#isPaused = true;
    }

    resume(): void {
        this.#isPaused = false;
        this.#onResumed?.();
    }

    close(reason = "The request was cancelled by this host."): void {
        if (!this.#isEnded) {
            this.#cancellation.abort();
            this.#fail("cancelled", { reason: "cancelled", wasSent: this.#isSending, detail: reason, isRefused: false });
        }
    }

    async #receive({ method, target, headers, body }: EndpointRequest): Promise<void> {
        const { peers, relay, endpoint, maximumIdleMs, remainingMs } = this.#options;
        const portions = peers.stream(relay, relayTopic, {
            service: endpoint.service,
            endpointId: endpoint.endpointId,
            startedAtMs: endpoint.startedAtMs,
            method,
            target,
            headers: toPairs(headers),
            body,
            ...(Number.isFinite(maximumIdleMs) ? { maximumIdleMs } : {}),
            remainingMs,
        }, { timeoutMs: remainingMs + overtimeMs, sendTimeoutMs, signal: this.#cancellation.signal });
        for await (const portion of portions) {
            while (this.#isPaused && !this.#isEnded) {
                await new Promise<void>(resolve => this.#onResumed = resolve);
            }
            if (portion.ok) {
                this.#deliver(portion.value);
            }
            else {
                this.#lose(portion.issue);
            }
        }
        this.#lose({ message: "The relay's reply ended before the answer.", sent: true });
    }

    #deliver({ isReused, refusal, head, body, end }: RelayPortion): void {
        this.#isReused = isReused ?? this.#isReused;
        if (refusal !== undefined) {
            this.#refuse(refusal);
        }
        if (head !== undefined && this.#handler !== undefined) {
            this.#isSkipping = !this.#handler.onHead(head);
        }
        if (body !== undefined && !this.#isSkipping) {
            this.#handler?.onBody(body);
        }
        if (end === undefined) {
            return;
        }
        const failure = end.failure ?? (this.#isSkipping ? describeForeignAnswer() : undefined);
        if (failure === undefined) {
            this.#end("answered", "")?.onComplete();
        }
        else if (failure.reason === "cancelled") {
            // This host has not cancelled it.
            this.#lose({ message: failure.detail, sent: failure.wasSent });
        }
        else {
            this.#fail("failed", failure);
        }
    }

    #refuse(refusal: RelayRefusal): void {
        const detail = `Host '${this.#options.relay}' refused to relay: ${refusal}.`;
        this.#fail(refusal, { reason: "unreachable", wasSent: false, detail, isRefused: false, relay: refusal });
    }

    #lose({ message, sent }: Pick<PeerIssue, "message" | "sent">): void {
        const detail = `The relay '${this.#options.relay}' was lost: ${message}`;
        const reason = sent ? "reset" : "unreachable";
        this.#fail(sent ? "lost" : "unsent", { reason, wasSent: sent, detail, isRefused: false, relay: "lost" });
    }

    #fail(result: RelayResult, failure: ConnectionFailure): void {
        this.#end(result, failure.detail)?.onFailure(failure);
    }

    /** Ends the request; returns the handler that still waits. */
    #end(result: RelayResult, detail: string): EndpointResponseHandler | undefined {
        const handler = this.#handler;
        this.#handler = undefined;
        if (!this.#isEnded) {
            this.#isEnded = true;
            this.#onResumed?.();
            this.#options.onEnd(result, detail);
        }
        return handler;
    }
}

function describeForeignAnswer(): ConnectionFailure {
    return { reason: "malformed", wasSent: true, detail: "The answer belongs to another request.", isRefused: false };
}
