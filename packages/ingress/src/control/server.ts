import { listenOn } from "@filbertrelay/kernel";
import type { Service } from "@filbertrelay/kernel";
import { createServer } from "node:http";
import type { Server } from "node:http";

/** An answer of a control interface. */
export interface ControlAnswer {
    readonly status: number;
    readonly contentType: "application/json" | "text/plain";
    readonly body: string;
}

/** Answers GET requests by path; a path that is not listed is answered with 404. */
export type ControlRoutes = Readonly<Record<string, (query: URLSearchParams) => ControlAnswer | Promise<ControlAnswer>>>;

const notFound: ControlAnswer = { status: 404, contentType: "text/plain", body: "not found" };

/**
 * Serves a small HTTP interface on an address of its own, apart from the callers' requests. It uses `node:http`, which a start loads
 * anyway: the adapter of a web framework loaded the web standards' requests and HTTP/2, half of the processor time of a start.
 */
export class ControlServer implements Service {
    readonly #address: string;
    readonly #routes: ControlRoutes;
    readonly #server: Server;

    constructor(options: { readonly address: string; readonly routes: ControlRoutes; }) {
        this.#address = options.address;
        this.#routes = options.routes;
        this.#server = createServer((request, response) => {
            // Nothing that an interface reads has a body; one that is sent is not waited for.
            request.resume();
            void this.#answer(request.method ?? "", request.url ?? "/").then(({ status, contentType, body }) => {
                response.sendDate = false;
                response.writeHead(status, { "Content-Type": contentType, "Content-Length": Buffer.byteLength(body) });
                response.end(body);
            });
        });
    }

    async start(): Promise<void> {
        await listenOn(this.#server, this.#address);
    }

    stop(): Promise<void> {
        this.#server.close();
        this.#server.closeAllConnections();
        return Promise.resolve();
    }

    async #answer(method: string, target: string): Promise<ControlAnswer> {
        const [path = "", query = ""] = target.split("?");
        const route = this.#routes[path];
        return method !== "GET" || route === undefined ? notFound : await route(new URLSearchParams(query));
    }
}
