import { listenOn } from "@filbertrelay/kernel";
import type { Clock, Service } from "@filbertrelay/kernel";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer } from "node:net";
import type { HeaderList } from "../contract.js";
import type { ArrivalGate } from "../pressure/arrivalgate.js";
import type { ErrorResponse } from "../request/errorresponse.js";
import { sendErrorResponse } from "../request/errorresponse.js";
import type { RequestPipeline } from "../request/pipeline.js";
import type { CallerRequest, CallerResponder } from "../request/responder.js";
import type { ConfigurationState } from "../state/configuration.js";
import { ConnectionGuard, GuardedRequest } from "./connectionguard.js";
import { CallerExchange } from "./exchange.js";
import type { ExchangeHost } from "./exchange.js";
import type { CallerLimits } from "./limits.js";
import { createResponder } from "./responder.js";

/** Largest request head that is accepted; the configuration may only lower it. */
const headerLimitBytes = 65_536;
/** Largest request body while no configuration is known. */
const defaultBodyLimitBytes = 4_194_304;
/** How often the server checks for request heads and bodies that take too long. */
const timeoutCheckMs = 1_000;
/** Time to receive a request with its body; far above any caller's time limit. */
const requestTimeoutMs = 60_000;
/** Time after which a caller may try again when memory was short, in milliseconds. */
const memoryRetryMs = 500;

const memoryShortResponse: ErrorResponse = {
    status: 503,
    code: "host.memoryShort",
    message: "The memory for requests is used up.",
    executed: "no",
    retryAfterMs: memoryRetryMs,
};

const stalledResponse: ErrorResponse = {
    status: 408,
    code: "body.stalled",
    message: "The body makes no progress.",
    executed: "no",
    retryAfterMs: memoryRetryMs,
};

/** HTTP server for callers' requests. Registered in the kernel as `callers`. */
export class IngressServer implements Service {
    readonly #clock: Clock;
    readonly #address: string;
    readonly #configuration: ConfigurationState;
    readonly #pipeline: RequestPipeline;
    readonly #gate: ArrivalGate;
    readonly #limits: CallerLimits;
    readonly #exchangeHost: ExchangeHost;
    readonly #server: Server;
    readonly #guard: ConnectionGuard;
    #isClosing = false;
    #inProgress = 0;

    constructor(
        options: {
            readonly clock: Clock;
            readonly address: string;
            readonly configuration: ConfigurationState;
            readonly pipeline: RequestPipeline;
            readonly gate: ArrivalGate;
            readonly limits: CallerLimits;
        },
    ) {
        this.#clock = options.clock;
        this.#address = options.address;
        this.#configuration = options.configuration;
        this.#pipeline = options.pipeline;
        this.#gate = options.gate;
        this.#limits = options.limits;
        this.#exchangeHost = {
            clock: options.clock,
            limits: options.limits,
            reject: (exchange, response, reason) => {
                response.shouldKeepAlive = false;
                sendErrorResponse(
                    createResponder(response, exchange),
                    reason === "memory" ? memoryShortResponse : stalledResponse,
                );
            },
        };
        this.#server = createServer({
            IncomingMessage: GuardedRequest,
            maxHeaderSize: headerLimitBytes,
            connectionsCheckingInterval: timeoutCheckMs,
            requestTimeout: requestTimeoutMs,
            noDelay: true,
        }, (request, response) => this.#receive(request, response));
        this.#guard = new ConnectionGuard({
            clock: options.clock,
            server: this.#server,
            connections: options.limits.connections.callers,
            requestsAhead: options.limits.requestsAhead,
            endBusy: () => options.limits.budget.endSlowest(this.#clock.monotonicMs()),
            onLimit: limit => options.limits.report(limit === "connections" ? "connectionEvicted" : "requestsAhead"),
        });
        options.configuration.listen(({ configuration: { limits } }) => {
            this.#server.keepAliveTimeout = limits.idleTimeoutMs;
            this.#server.headersTimeout = limits.headerTimeoutMs;
        });
    }

    /** Requests without a complete response. */
    get inProgress(): number {
        return this.#inProgress;
    }

    start(): Promise<void> {
        return listenOn(this.#server, this.#address, this.#clock);
    }

    /** Connections that are open, with those whose answer is on its way to the caller. */
    get openConnections(): number {
        return this.#guard.size;
    }

    /** Closes each connection after its next response. */
    closeConnections(): void {
        this.#isClosing = true;
    }

    /** Accepts nothing more and closes all connections such that answers on their way arrive. */
    endConnections(): void {
        // The method of the HTTP server also resets idle connections with unread bytes.
        NetServer.prototype.close.call(this.#server);
        this.#guard.closeAll();
    }

    stop(): Promise<void> {
        this.#server.close();
        this.#server.closeAllConnections();
        return Promise.resolve();
    }

    #receive(request: GuardedRequest, response: ServerResponse): void {
        const arrivedMs = this.#clock.monotonicMs();
        this.#inProgress += 1;
        response.sendDate = false;
        const exchange = new CallerExchange(request, response, this.#exchangeHost);
        const turn = this.#guard.begin(request, response, () => {
            this.#inProgress -= 1;
            exchange.release();
        });
        const responder = createResponder(response, exchange, () => {
            // Requests that were read behind this one get their answers before the connection is closed.
            if (this.#isClosing && turn.isLast) {
                response.shouldKeepAlive = false;
            }
        });
        request.on("error", () => undefined);
        const refusal = this.#gate.check({
            hostname: request.headers.host ?? "",
            target: request.url ?? "/",
            headers: () => toPairs(request.rawHeaders),
        }, arrivedMs);
        if (refusal !== undefined) {
            this.#refuse(request, responder, refusal);
            return;
        }
        const limitBytes = this.#bodyLimitBytes();
        const announced = request.headers["content-length"];
        const expectedBytes = announced === undefined ? limitBytes + 1 : Number(announced);
        if (announced !== undefined && expectedBytes > limitBytes) {
            this.#rejectTooLarge(response, responder, limitBytes);
            return;
        }
        request.on("data", (piece: Buffer) => {
            if (exchange.isEnded) {
                return;
            }
            if (exchange.receivedBytes + piece.length > limitBytes) {
                exchange.release();
                this.#rejectTooLarge(response, responder, limitBytes);
                return;
            }
            exchange.receive(piece, expectedBytes);
        });
        request.on("end", () => {
            if (exchange.isEnded) {
                return;
            }
            const accepted = {
                method: request.method ?? "GET",
                target: request.url ?? "/",
                hostname: request.headers.host ?? "",
                headers: toPairs(request.rawHeaders),
                body: exchange.takeBody(arrivedMs),
                arrivedMs,
            };
            turn.whenFirst(() => {
                this.#gate.recordReceived();
                afterPendingReads(() => this.#gate.recordStart(this.#begin(accepted, responder, { request, response })));
            });
        });
    }

    /** Passes a request on unless it is no longer of use; returns the time that this took in milliseconds, `undefined` if it wasn't. */
    #begin(
        accepted: CallerRequest,
        responder: CallerResponder,
        { request, response }: { readonly request: IncomingMessage; readonly response: ServerResponse; },
    ): number | undefined {
        if (isDisconnected(request, response)) {
            response.destroy();
            return undefined;
        }
        if (!this.#limits.budget.makeRoom(this.#clock.monotonicMs())) {
            this.#limits.report("transferEnded", { phase: "endpoint", heldBytes: this.#limits.budget.heldBytes });
            sendErrorResponse(responder, memoryShortResponse);
            return undefined;
        }
        const startedMs = this.#clock.monotonicMs();
        this.#pipeline.accept(accepted, responder);
        return this.#clock.monotonicMs() - startedMs;
    }

    /** Refuses a request for which the host has no room; its body is read but not kept, so that the connection can be used again. */
    #refuse(request: IncomingMessage, responder: CallerResponder, refusal: ErrorResponse): void {
        const limitBytes = this.#bodyLimitBytes();
        let bytes = 0;
        request.on("data", (piece: Buffer) => {
            bytes += piece.length;
            if (bytes > limitBytes) {
                request.socket.destroy();
            }
        });
        sendErrorResponse(responder, refusal);
    }

    #bodyLimitBytes(): number {
        return this.#configuration.current()?.configuration.limits.bodyBytes ?? defaultBodyLimitBytes;
    }

    #rejectTooLarge(response: ServerResponse, responder: CallerResponder, limitBytes: number): void {
        this.#limits.report("bodyTooLarge");
        // The rest of the body may never end, so the connection is closed after the response.
        response.shouldKeepAlive = false;
        const message = `The body is longer than ${limitBytes} bytes.`;
        sendErrorResponse(responder, { status: 413, code: "body.tooLarge", message, executed: "no" });
    }
}

/**
 * Calls back after all pending input on the connections has been read. On an overloaded host, a caller's disconnect may already be
 * pending together with its request.
 */
function afterPendingReads(callback: () => void): void {
    setImmediate(() => setImmediate(callback));
}

function isDisconnected(request: IncomingMessage, response: ServerResponse): boolean {
    return response.destroyed || request.socket.destroyed || request.socket.readableEnded;
}

function toPairs(flat: readonly string[]): HeaderList {
    return flat.flatMap((name, index) => index % 2 === 0 ? [[name, flat[index + 1] ?? ""] as const] : []);
}
