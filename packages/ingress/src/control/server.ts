import { listenOn } from "@filbertrelay/kernel";
import type { Service } from "@filbertrelay/kernel";
import { createAdaptorServer } from "@hono/node-server";
import type { ServerType } from "@hono/node-server";
import type { Hono } from "hono";

/** Serves a small HTTP interface on an address of its own, apart from the callers' requests. */
export class ControlServer implements Service {
    readonly #address: string;
    readonly #server: ServerType;

    constructor(options: { readonly address: string; readonly app: Hono; }) {
        this.#address = options.address;
        this.#server = createAdaptorServer({ fetch: options.app.fetch });
    }

    start(): Promise<void> {
        return listenOn(this.#server, this.#address);
    }

    stop(): Promise<void> {
        this.#server.close();
        return Promise.resolve();
    }
}
