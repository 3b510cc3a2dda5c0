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

    async start(): Promise<void> {
        const separator = this.#address.lastIndexOf(":");
        await new Promise<void>((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(Number(this.#address.slice(separator + 1)), this.#address.slice(0, separator), resolve);
        });
    }

    stop(): Promise<void> {
        this.#server.close();
        return Promise.resolve();
    }
}
