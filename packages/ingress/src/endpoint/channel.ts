import { splitAddress } from "@filbertrelay/kernel";
import type { Clock } from "@filbertrelay/kernel";
import { connect } from "node:net";
import type { Socket } from "node:net";
import type { HeaderList } from "../contract.js";
import { ResponseParser } from "./responseparser.js";
import type { ResponseHead } from "./responseparser.js";

/** A request in the form in which it is sent to an endpoint. */
export interface ChannelRequest {
    readonly method: string;
    readonly target: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
}

/** Why no complete answer came. */
export interface ChannelFailure {
    readonly reason: "unreachable" | "reset" | "truncated" | "malformed" | "cancelled";
    /** False only when no byte of the request left this process. */
    readonly wasSent: boolean;
    readonly detail: string;
}

/** Receives an answer while it arrives; ends with exactly one call of `onComplete` or `onFailure`. */
export interface AnswerHandler {
    /** Says whether the answer belongs to the request; answers to earlier ones are skipped. */
    onHead(head: ResponseHead): boolean;
    onBody(chunk: Buffer): void;
    onComplete(): void;
    onFailure(failure: ChannelFailure): void;
}

/** A new connection that is not accepted within this time is given up; within a region a connection takes a few milliseconds. */
const connectTimeoutMs = 400;
/** Assumed when an endpoint does not say how long it keeps idle connections. */
const defaultIdleMs = 3_000;
/** Connections are not used in the last part of their idle time, since the endpoint may be closing them. */
const idleMarginMs = 1_200;

/** Methods whose requests state a length even when the body is empty. */
const bodyMethods: ReadonlySet<string> = new Set(["POST", "PUT", "PATCH"]);

/** An empty line, which receivers ignore between messages. */
const endProbe = "\r\n";

/** One connection to an endpoint; carries one request at a time. */
export class EndpointChannel {
    readonly #clock: Clock;
    readonly #socket: Socket;
    readonly #parser: ResponseParser;
    readonly #onIdle: (channel: EndpointChannel) => void;
    readonly #onClosed: (channel: EndpointChannel) => void;
    #current: { readonly request: ChannelRequest; readonly handler: AnswerHandler; } | undefined;
    #requests = 0;
    #isConnected = false;
    #isSent = false;
    #isSkipping = false;
    #isAnswered = false;
    #isTainted = false;
    #isClosed = false;
    #isReusable = true;
    #idleSinceMs = 0;
    #idleLimitMs = defaultIdleMs;

    constructor(
        options: {
            readonly clock: Clock;
            readonly address: string;
            readonly onIdle: (channel: EndpointChannel) => void;
            readonly onClosed: (channel: EndpointChannel) => void;
        },
    ) {
        this.#clock = options.clock;
        this.#onIdle = options.onIdle;
        this.#onClosed = options.onClosed;
        this.#parser = new ResponseParser({
            onHead: head => this.#receiveHead(head),
            onBody: chunk => this.#receiveBody(chunk),
            onComplete: () => this.#receiveComplete(),
        }, () => this.#current?.request.method === "HEAD");
        this.#socket = connect({ ...splitAddress(options.address), noDelay: true, allowHalfOpen: true });
        this.#listen();
    }

    /** Whether the connection has carried a request before the present one, so that an answer to that one may still come. */
    get isReused(): boolean {
        return this.#requests > 1;
    }

    /** Whether the connection can take a request that must not meet a connection that is being closed. */
    isFresh(maximumIdleMs: number): boolean {
        const idleMs = this.#clock.monotonicMs() - this.#idleSinceMs;
        return !this.#isClosed && idleMs < Math.min(maximumIdleMs, this.#idleLimitMs - idleMarginMs);
    }

    /** Sends a request; the answer goes to the handler. */
    send(request: ChannelRequest, handler: AnswerHandler): void {
        this.#current = { request, handler };
        this.#requests += 1;
        this.#isSent = false;
        this.#isAnswered = false;
        this.#isSkipping = false;
        if (this.#isConnected) {
            this.#write(request);
        }
    }

    /** Stops reading until `resume`, so that a slow caller does not fill the memory. */
    pause(): void {
        this.#socket.pause();
    }

    resume(): void {
        this.#socket.resume();
    }

    /** Closes the connection; an endpoint takes this as the end of the request. */
    close(reason = "The connection was closed by this host."): void {
        this.#fail("cancelled", reason);
    }

    #listen(): void {
        const cancelTimer = this.#clock.after(connectTimeoutMs, () => {
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
        this.#socket.on("data", bytes => this.#receive(bytes));
        this.#socket.on("end", () => this.#receiveEnd());
        this.#socket.on("error", error => {
            cancelTimer();
            this.#fail(this.#isConnected ? "reset" : "unreachable", error.message);
        });
        this.#socket.on("close", () => {
            cancelTimer();
            this.#fail("reset", "The connection was closed.");
        });
    }

    #write(request: ChannelRequest): void {
        this.#isSent = true;
        const hasBody = request.body.length > 0 || bodyMethods.has(request.method);
        const framing = hasBody ? [["Content-Length", String(request.body.length)] as const] : [];
        const lines = [...request.headers, ...framing].map(([name, value]) => `${name}: ${value}\r\n`).join("");
        const head = Buffer.from(`${request.method} ${request.target} HTTP/1.1\r\n${lines}\r\n`, "latin1");
        this.#socket.write(request.body.length === 0 ? head : Buffer.concat([head, request.body]));
    }

    #receive(bytes: Buffer): void {
        if (this.#current === undefined) {
            // Nobody waits for an answer, so these bytes belong to no request.
            this.#fail("malformed", "The endpoint sent bytes on an idle connection.");
            return;
        }
        const malformed = this.#parser.push(bytes);
        if (this.#isAnswered) {
            this.#isTainted ||= malformed !== undefined || !this.#parser.isBetweenAnswers;
            this.#finish();
        }
        else if (malformed !== undefined) {
            this.#fail("malformed", malformed);
        }
    }

    #receiveEnd(): void {
        this.#isReusable = false;
        if (this.#current === undefined || !this.#parser.endsWithConnection) {
            this.#completeAtEnd();
            return;
        }
        // libuv reports a reset as an orderly end when it arrives together with data; a write tells the two apart.
        this.#socket.write(endProbe, error => {
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
        if (this.#isAnswered) {
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
        if (current === undefined || this.#isAnswered) {
            this.#isTainted = true;
            return;
        }
        this.#isReusable &&= head.isReusable;
        this.#isSkipping = !current.handler.onHead(head);
        if (!this.#isSkipping) {
            this.#idleLimitMs = readIdleLimit(head.headers);
        }
    }

    #receiveBody(chunk: Buffer): void {
        if (!this.#isSkipping && !this.#isAnswered) {
            this.#current?.handler.onBody(chunk);
        }
    }

    #receiveComplete(): void {
        if (!this.#isSkipping) {
            this.#isAnswered = true;
        }
    }

    #finish(): void {
        const handler = this.#current?.handler;
        this.#current = undefined;
        if (this.#isTainted || !this.#isReusable) {
            this.#close();
        }
        else if (!this.#isClosed) {
            this.#idleSinceMs = this.#clock.monotonicMs();
            this.#socket.resume();
            this.#onIdle(this);
        }
        handler?.onComplete();
    }

    #fail(reason: ChannelFailure["reason"], detail: string): void {
        const handler = this.#current?.handler;
        this.#current = undefined;
        this.#close();
        handler?.onFailure({ reason, wasSent: this.#isSent, detail });
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
