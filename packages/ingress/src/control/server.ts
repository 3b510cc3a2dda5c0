import { listenOn } from "@filbertrelay/kernel";
import type { Clock, Service } from "@filbertrelay/kernel";
import { createServer } from "node:http";
import type { Server } from "node:http";
import { ConnectionGuard, GuardedRequest } from "../caller/connectionguard.js";
import type { ConnectionLimit } from "../caller/connectionguard.js";

export interface ControlResponse {
    readonly status: number;
    readonly contentType: "application/json" | "text/plain";
    readonly body: string;
}

/** Handlers of GET requests by path; other paths and methods get 404. */
export type ControlRoutes = Readonly<Record<string, (query: URLSearchParams) => ControlResponse | Promise<ControlResponse>>>;

/** Largest request head that is accepted. */
const headerLimitBytes = 16_384;

const notFound: ControlResponse = { status: 404, contentType: "text/plain", body: "not found" };

/**
 * Serves a small HTTP interface on its own address, separate from callers' requests. It uses `node:http`, which is loaded at startup
 * anyway: a web framework's adapter also loaded the Fetch API and HTTP/2, which took half of the startup's processor time.
 */
export class ControlServer implements Service {
    readonly #clock: Clock;
    readonly #address: string;
    readonly #routes: ControlRoutes;
    readonly #server: Server;

    constructor(options: {
        readonly clock: Clock;
        readonly address: string;
        readonly routes: ControlRoutes;
        /** Most connections at once, and most requests of each that are read before the first is answered. */
        readonly connections: number;
        readonly requestsAhead: number;
        readonly onLimit: (limit: ConnectionLimit) => void;
    }) {
        this.#clock = options.clock;
        this.#address = options.address;
        this.#routes = options.routes;
        const { connections, requestsAhead, onLimit } = options;
        this.#server = createServer({ IncomingMessage: GuardedRequest, maxHeaderSize: headerLimitBytes }, (request, response) => {
            // No handler reads a body, so it is discarded without waiting for its end.
            request.resume();
            guard.begin(request, response, () => undefined).whenFirst(() =>
                void this.#answer(request.method ?? "", request.url ?? "/").then(({ status, contentType, body }) => {
                    response.sendDate = false;
                    response.writeHead(status, { "Content-Type": contentType, "Content-Length": Buffer.byteLength(body) });
                    response.end(body);
                })
            );
        });
        const guard = new ConnectionGuard({ clock: options.clock, server: this.#server, connections, requestsAhead, onLimit });
    }

    async start(): Promise<void> {
        await listenOn(this.#server, this.#address, this.#clock);
    }

    stop(): Promise<void> {
        this.#server.close();
        this.#server.closeAllConnections();
        return Promise.resolve();
    }

    async #answer(method: string, target: string): Promise<ControlResponse> {
        const [path = "", query = ""] = target.split("?");
        const route = this.#routes[path];
        return method !== "GET" || route === undefined ? notFound : await route(new URLSearchParams(query));
    }
}
