import { splitAddress } from "@filbertrelay/kernel";
import { createAdaptorServer } from "@hono/node-server";
import type { HttpBindings } from "@hono/node-server";
import type { Hono } from "hono";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createFaults } from "./fault.js";

/** Bindings of every stand-in's routes: the raw request and response. */
export interface StandInEnvironment {
    Bindings: HttpBindings;
}

/** A stand-in's routes and what has to be closed with them. */
export interface StandIn {
    readonly app: Hono<StandInEnvironment>;
    close?(): void;
}

/** A listening stand-in. */
export interface RunningStandIn {
    /** Address and port. */
    readonly address: string;
    close(): Promise<void>;
}

/** Serves a stand-in's routes together with the faults that all stand-ins share. */
export async function serveStandIn(standIn: StandIn, listen: string): Promise<RunningStandIn> {
    const faults = createFaults();
    const server = createAdaptorServer({
        fetch: (request, environment) =>
            faults.apply(request, environment as HttpBindings, () => standIn.app.fetch(request, environment as HttpBindings)),
        serverOptions: { keepAliveTimeout: 60_000, requestTimeout: 0 },
    }) as Server;
    const { host, port } = splitAddress(listen);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, 4_096, resolve);
    });
    const { port: boundPort } = server.address() as AddressInfo;
    return {
        address: `${host}:${boundPort}`,
        close: () => {
            standIn.close?.();
            server.closeAllConnections();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}
