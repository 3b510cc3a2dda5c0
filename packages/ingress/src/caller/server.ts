import { listenOn } from "@filbertrelay/kernel";
import type { Clock, Service } from "@filbertrelay/kernel";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { HeaderList } from "../contract.js";
import type { ArrivalGate } from "../pressure/arrivalgate.js";
import { sendErrorResponse } from "../request/errorresponse.js";
import type { RequestPipeline } from "../request/pipeline.js";
import type { CallerResponder } from "../request/responder.js";
import type { ConfigurationState } from "../state/configuration.js";

/** Largest request head that is accepted; the configuration may only lower it. */
const headerLimitBytes = 65_536;
/** Largest request body while no configuration is known. */
const defaultBodyLimitBytes = 4_194_304;
/** How often the server checks for request heads and bodies that take too long. */
const timeoutCheckMs = 1_000;
/** Time to receive a request with its body; far above any caller's time limit. */
const requestTimeoutMs = 60_000;

/** HTTP server for callers' requests. Registered in the kernel as `callers`. */
export class IngressServer implements Service {
    readonly #clock: Clock;
    readonly #address: string;
    readonly #configuration: ConfigurationState;
    readonly #pipeline: RequestPipeline;
    readonly #gate: ArrivalGate;
    readonly #server: Server;
    #isClosing = false;
    #inProgress = 0;

    constructor(
        options: {
            readonly clock: Clock;
            readonly address: string;
            readonly configuration: ConfigurationState;
            readonly pipeline: RequestPipeline;
            readonly gate: ArrivalGate;
        },
    ) {
        this.#clock = options.clock;
        this.#address = options.address;
        this.#configuration = options.configuration;
        this.#pipeline = options.pipeline;
        this.#gate = options.gate;
        this.#server = createServer({
            maxHeaderSize: headerLimitBytes,
            connectionsCheckingInterval: timeoutCheckMs,
            requestTimeout: requestTimeoutMs,
            noDelay: true,
        }, (request, response) => this.#receive(request, response));
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

    /** Closes each connection after its next response. */
    closeConnections(): void {
        this.#isClosing = true;
    }

    stop(): Promise<void> {
        this.#server.close();
        this.#server.closeAllConnections();
        return Promise.resolve();
    }

    #receive(request: IncomingMessage, response: ServerResponse): void {
        const arrivedMs = this.#clock.monotonicMs();
        this.#inProgress += 1;
        response.once("close", () => {
            this.#inProgress -= 1;
        });
        response.sendDate = false;
        if (this.#isClosing) {
            response.shouldKeepAlive = false;
        }
        const responder = createResponder(response);
        const refusal = this.#gate.check({
            hostname: request.headers.host ?? "",
            target: request.url ?? "/",
            headers: () => toPairs(request.rawHeaders),
        }, arrivedMs);
        if (refusal !== undefined) {
            request.on("error", () => undefined);
            request.resume();
            sendErrorResponse(responder, refusal);
            return;
        }
        const limitBytes = this.#configuration.current()?.configuration.limits.bodyBytes ?? defaultBodyLimitBytes;
        const chunks: Buffer[] = [];
        let bytes = 0;
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes <= limitBytes) {
                chunks.push(chunk);
            }
            else if (!response.headersSent) {
                // The rest of the body may never end, so the connection is closed after the response.
                response.shouldKeepAlive = false;
                const message = `The body is longer than ${limitBytes} bytes.`;
                sendErrorResponse(responder, { status: 413, code: "body.tooLarge", message, executed: "no" });
            }
        });
        request.on("error", () => undefined);
        request.on("end", () => {
            if (bytes > limitBytes) {
                return;
            }
            this.#gate.recordReceived();
            const accepted = {
                method: request.method ?? "GET",
                target: request.url ?? "/",
                hostname: request.headers.host ?? "",
                headers: toPairs(request.rawHeaders),
                body: Buffer.concat(chunks),
                arrivedMs,
            };
            afterPendingReads(() => {
                if (isDisconnected(request, response)) {
                    response.destroy();
                    this.#gate.recordStart(undefined);
                }
                else {
                    const startedMs = this.#clock.monotonicMs();
                    this.#pipeline.accept(accepted, responder);
                    this.#gate.recordStart(this.#clock.monotonicMs() - startedMs);
                }
            });
        });
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

function createResponder(response: ServerResponse): CallerResponder {
    return {
        onDisconnect: callback =>
            void response.once("close", () => {
                if (!response.writableFinished) {
                    callback();
                }
            }),
        answer: (status, headers, body) => {
            if (!response.headersSent && !response.destroyed) {
                response.writeHead(status, [...headers.flat(), "Content-Length", String(body.length)]);
                response.end(body);
            }
        },
        sendHead: (status, headers) => response.destroyed || isWritten(() => response.writeHead(status, headers.flat())),
        write: bytes => response.destroyed || response.write(bytes),
        onDrain: callback => void response.on("drain", callback),
        end: () => void response.end(),
        abort: () => void response.destroy(),
    };
}

/** Node.js checks a head as a whole before it sends any of it. */
function isWritten(writeHead: () => void): boolean {
    try {
        writeHead();
        return true;
    }
    catch {
        return false;
    }
}

function toPairs(flat: readonly string[]): HeaderList {
    return flat.flatMap((name, index) => index % 2 === 0 ? [[name, flat[index + 1] ?? ""] as const] : []);
}
