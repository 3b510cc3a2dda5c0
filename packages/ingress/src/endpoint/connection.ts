import { splitAddress } from "@filbertrelay/kernel";
import type { Clock } from "@filbertrelay/kernel";
import type { Socket } from "node:net";
import type { EndpointRecord, HeaderList } from "../contract.js";
import type { RelayRefusal } from "../relay/message.js";
import type { EndpointLink } from "./link.js";
import type { LinkObserver } from "./linkobserver.js";
import { ResponseParser } from "./responseparser.js";
import type { ResponseHead } from "./responseparser.js";
import type { OpenSocket } from "./socket.js";

/** A request to an endpoint. */
export interface EndpointRequest {
    readonly method: string;
    readonly target: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
}

/** Why no complete response was received. */
export interface ConnectionFailure {
    readonly reason: "unreachable" | "reset" | "truncated" | "malformed" | "cancelled";
    /** False only when no byte of the request was written to the socket. */
    readonly wasSent: boolean;
    readonly detail: string;
    /** Whether nothing listened at the address. */
    readonly isRefused: boolean;
    /** Present when another host was asked to send the request and failed or refused, which says nothing of the endpoint. */
    readonly relay?: RelayRefusal | "lost";
}

/** Receives a response as it arrives; ends with exactly one call of `onComplete` or `onFailure`. */
export interface EndpointResponseHandler {
    /** Returns whether the response belongs to the request; late responses to earlier requests are skipped. */
    onHead(head: ResponseHead): boolean;
    onBody(chunk: Buffer): void;
    onComplete(): void;
    onFailure(failure: ConnectionFailure): void;
}

/** Connecting takes a few milliseconds within a region. */
const connectTimeoutMs = 400;
/** Keep-alive timeout assumed for endpoints that do not state one. */
const defaultIdleMs = 3_000;
/** A connection is not reused this close to its keep-alive timeout, since the endpoint may be closing it. */
const idleMarginMs = 1_200;

/** Bytes of one read. A full buffer is read again at once, up to 32 times, so a larger one would delay other connections. */
const readBytes = 16_384;
/** Holds the bytes of one read until they have been copied; reads never overlap. */
const readBuffer = Buffer.alloc(readBytes);

/** Methods that send `Content-Length` even with an empty body. */
const bodyMethods: ReadonlySet<string> = new Set(["POST", "PUT", "PATCH"]);

/** An empty line, which HTTP servers ignore between requests. */
const resetProbe = "\r\n";

/** An HTTP/1.1 connection to an endpoint; carries one request at a time. */
export class EndpointConnection implements EndpointLink {
    readonly isRelayed = false;
    readonly #clock: Clock;
    readonly #endpoint: EndpointRecord;
    readonly #observer: LinkObserver;
    readonly #name: string;
    readonly #socket: Socket;
    readonly #parser: ResponseParser;
    readonly #onIdle: (connection: EndpointConnection) => void;
    readonly #onClosed: (connection: EndpointConnection) => void;
    #current: { readonly request: EndpointRequest; readonly handler: EndpointResponseHandler; } | undefined;
    #requests = 0;
    #isConnected = false;
    #isHeard = false;
    #isSent = false;
    #isSkipping = false;
    #isResponseComplete = false;
    #hasExcessBytes = false;
    #isClosed = false;
    #isRefused = false;
    #isReusable = true;
    #idleSinceMs = 0;
    #idleLimitMs = defaultIdleMs;

    constructor(
        options: {
            readonly clock: Clock;
            readonly openSocket: OpenSocket;
            readonly endpoint: EndpointRecord;
            readonly observer: LinkObserver;
            /** Unique among the connections of the observer. */
            readonly name: string;
            readonly onIdle: (connection: EndpointConnection) => void;
            readonly onClosed: (connection: EndpointConnection) => void;
        },
    ) {
        this.#clock = options.clock;
        this.#endpoint = options.endpoint;
        this.#observer = options.observer;
        this.#name = options.name;
        this.#onIdle = options.onIdle;
        this.#onClosed = options.onClosed;
        this.#parser = new ResponseParser({
            onHead: head => this.#receiveHead(head),
            onBody: chunk => this.#receiveBody(chunk),
            onComplete: () => this.#receiveComplete(),
        }, () => this.#current?.request.method === "HEAD");
        this.#socket = options.openSocket({
            ...splitAddress(options.endpoint.address),
            noDelay: true,
            allowHalfOpen: true,
            // Without a buffer of its own, a paused socket still reads until it has buffered several packets.
            onread: {
                buffer: readBuffer,
                callback: bytes => {
                    this.#receive(Buffer.from(readBuffer.subarray(0, bytes)));
                    return true;
                },
            },
        });
        this.#listen();
    }

    /** Whether the connection has carried an earlier request, whose response may still be duplicated late. */
    get isReused(): boolean {
        return this.#requests > 1;
    }

    /** Whether the connection is open and its idle time is within both limits, so that the endpoint is not closing it. */
    isUsable(maximumIdleMs: number): boolean {
        const idleMs = this.#clock.monotonicMs() - this.#idleSinceMs;
        return !this.#isClosed && idleMs < Math.min(maximumIdleMs, this.#idleLimitMs - idleMarginMs);
    }

    send(request: EndpointRequest, handler: EndpointResponseHandler): void {
        this.#current = { request, handler };
        this.#requests += 1;
        this.#isSent = false;
        this.#isResponseComplete = false;
        this.#isSkipping = false;
        if (this.#isConnected) {
            this.#write(request);
        }
    }

    /** Stops reading until `resume`, so that a slow caller does not exhaust memory. */
    pause(): void {
        this.#socket.pause();
    }

    resume(): void {
        this.#socket.resume();
    }

    /** Closes the connection, by which an endpoint cancels the request. */
    close(reason = "The connection was closed by this host."): void {
        this.#fail("cancelled", reason);
    }

    #listen(): void {
        const cancelTimer = this.#clock.afterInput(connectTimeoutMs, () => {
            if (!this.#isConnected) {
                this.#fail("unreachable", `The endpoint did not accept a connection within ${connectTimeoutMs} ms.`);
            }
        });
        this.#socket.on("connect", () => {
            cancelTimer();
            this.#isConnected = true;
            if (this.#current !== undefined) {
                this.#write(this.#current.request);
            }
        });
        this.#socket.on("end", () => this.#receiveEnd());
        this.#socket.on("error", error => {
            cancelTimer();
            this.#isRefused = "code" in error && error.code === "ECONNREFUSED";
            this.#fail(this.#isConnected ? "reset" : "unreachable", error.message);
        });
        this.#socket.on("close", () => {
            cancelTimer();
            this.#fail("reset", "The connection was closed.");
        });
    }

    #write(request: EndpointRequest): void {
        this.#isSent = true;
        this.#observer.sent(this.#name, this.#endpoint);
        const hasBody = request.body.length > 0 || bodyMethods.has(request.method);
        const framing = hasBody ? [["Content-Length", String(request.body.length)] as const] : [];
        const lines = [...request.headers, ...framing].map(([name, value]) => `${name}: ${value}\r\n`).join("");
        const head = Buffer.from(`${request.method} ${request.target} HTTP/1.1\r\n${lines}\r\n`, "latin1");
        this.#socket.write(request.body.length === 0 ? head : Buffer.concat([head, request.body]));
    }

    #receive(bytes: Buffer): void {
        if (!this.#isHeard) {
            this.#isHeard = true;
            this.#observer.connected(this.#endpoint);
        }
        this.#observer.heard(this.#endpoint);
        if (this.#current === undefined) {
            // No request is in flight, so these bytes belong to none.
            this.#fail("malformed", "The endpoint sent data on an idle connection.");
            return;
        }
        const malformed = this.#parser.push(bytes);
        if (this.#isResponseComplete) {
            this.#hasExcessBytes ||= malformed !== undefined || !this.#parser.isBetweenResponses;
            this.#finish();
        }
        else if (malformed !== undefined) {
            this.#fail("malformed", malformed);
        }
    }

    #receiveEnd(): void {
        this.#isReusable = false;
        if (this.#current === undefined || !this.#parser.isDelimitedByClose) {
            this.#completeAtEnd();
            return;
        }
        // libuv reports a reset that arrives together with data as an orderly end; a write fails only after a reset.
        this.#socket.write(resetProbe, error => {
            if (error === undefined || error === null) {
                this.#completeAtEnd();
            }
            else {
                this.#fail("truncated", `The connection was reset within an answer without a length: ${error.message}`);
            }
        });
    }

    #completeAtEnd(): void {
        const cutOff = this.#parser.finish();
        if (this.#isResponseComplete) {
            this.#finish();
        }
        else {
            this.#fail(
                cutOff === undefined ? "reset" : "truncated",
                cutOff ?? "The endpoint closed the connection without an answer.",
            );
        }
    }

    #receiveHead(head: ResponseHead): void {
        const current = this.#current;
        if (current === undefined || this.#isResponseComplete) {
            this.#hasExcessBytes = true;
            return;
        }
        this.#isReusable &&= head.isReusable;
        this.#isSkipping = !current.handler.onHead(head);
        if (!this.#isSkipping) {
            this.#idleLimitMs = readIdleLimit(head.headers);
        }
    }

    #receiveBody(chunk: Buffer): void {
        if (!this.#isSkipping && !this.#isResponseComplete) {
            this.#current?.handler.onBody(chunk);
        }
    }

    #receiveComplete(): void {
        if (!this.#isSkipping) {
            this.#isResponseComplete = true;
        }
    }

    #finish(): void {
        const handler = this.#current?.handler;
        this.#current = undefined;
        this.#observer.ended(this.#name);
        if (this.#hasExcessBytes || !this.#isReusable) {
            this.#close();
        }
        // The handler may still pause the connection, so it is handed back only afterwards.
        handler?.onComplete();
        if (!this.#isClosed) {
            this.#idleSinceMs = this.#clock.monotonicMs();
            this.#socket.resume();
            this.#onIdle(this);
        }
    }

    #fail(reason: ConnectionFailure["reason"], detail: string): void {
        const handler = this.#current?.handler;
        this.#current = undefined;
        this.#observeFailure(reason, handler !== undefined);
        this.#close();
        handler?.onFailure({ reason, wasSent: this.#isSent, detail, isRefused: this.#isRefused });
    }

    #observeFailure(reason: ConnectionFailure["reason"], isInUse: boolean): void {
        if (this.#isClosed) {
            return;
        }
        if (reason === "unreachable") {
            this.#observer.connectFailed(this.#endpoint);
        }
        if (isInUse && this.#isSent) {
            this.#observer.ended(this.#name);
            if (reason === "reset" || reason === "truncated") {
                this.#observer.lost(this.#endpoint);
            }
        }
    }

    #close(): void {
        if (!this.#isClosed) {
            this.#isClosed = true;
            this.#socket.destroy();
            this.#onClosed(this);
        }
    }
}

function readIdleLimit(headers: HeaderList): number {
    const keepAlive = headers.find(([name]) => name.toLowerCase() === "keep-alive")?.[1];
    const seconds = keepAlive === undefined ? undefined : /timeout=(\d+)/i.exec(keepAlive)?.[1];
    return seconds === undefined ? defaultIdleMs : Number(seconds) * 1_000;
}
