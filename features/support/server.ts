import { createAdaptorServer } from "@hono/node-server";
import type { Hono } from "hono";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** A test server on a free port chosen by the operating system. */
export interface LoopbackServer {
    readonly address: string;
    readonly close: () => Promise<unknown>;
}

/** Serves an application on loopback. */
export async function serveOnLoopback(application: Hono<never> | Hono): Promise<LoopbackServer> {
    const server = createAdaptorServer({ fetch: (application as Hono).fetch }) as Server;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        address: `127.0.0.1:${port}`,
        close: () => {
            server.closeAllConnections();
            return new Promise(resolve => server.close(resolve));
        },
    };
}
