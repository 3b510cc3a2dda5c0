import { listenOn } from "@filbertrelay/kernel";
import type { Service } from "@filbertrelay/kernel";
import type { ServerType } from "@hono/node-server";
import type { Hono } from "hono";

/** Loads an interface; its modules and those of its server are not needed to serve callers, who come first after a start. */
export type AppLoader = () => Promise<Hono>;

/** Serves a small HTTP interface on an address of its own, apart from the callers' requests. */
export class ControlServer implements Service {
    readonly #address: string;
    readonly #loadApp: AppLoader;
    #server: ServerType | undefined;

    constructor(options: { readonly address: string; readonly loadApp: AppLoader; }) {
        this.#address = options.address;
        this.#loadApp = options.loadApp;
    }

    async start(): Promise<void> {
        const [{ createAdaptorServer }, app] = await Promise.all([import("@hono/node-server"), this.#loadApp()]);
        this.#server = createAdaptorServer({ fetch: app.fetch });
        await listenOn(this.#server, this.#address);
    }

    stop(): Promise<void> {
        this.#server?.close();
        return Promise.resolve();
    }
}
