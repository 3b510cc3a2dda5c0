import type { Clock, EndpointId } from "@filbertrelay/kernel";
import { connect } from "node:net";
import type { EndpointRecord } from "../contract.js";
import { EndpointConnection } from "./connection.js";
import { silentLinkObserver } from "./linkobserver.js";
import type { LinkObserver } from "./linkobserver.js";
import type { OpenSocket } from "./socket.js";

/** Idle connections per endpoint; more are rarely reused before they time out. */
const maximumIdleConnections = 12;

interface EndpointConnections {
    readonly startedAtMs: number;
    readonly address: string;
    /** Most recently used last. */
    readonly idle: EndpointConnection[];
}

/** Called with the service of each connection that is opened. */
export type ConnectionObserver = (service: string) => void;

/** Keep-alive connections of this host to all endpoints. */
export class ConnectionPool {
    readonly #clock: Clock;
    readonly #onOpened: ConnectionObserver;
    readonly #links: LinkObserver;
    readonly #openSocket: OpenSocket;
    #opened = 0;
    readonly #endpoints = new Map<EndpointId, EndpointConnections>();

    constructor(
        clock: Clock,
        options: { readonly onOpened?: ConnectionObserver; readonly links?: LinkObserver; readonly openSocket?: OpenSocket; } =
            {},
    ) {
        this.#clock = clock;
        this.#onOpened = options.onOpened ?? (() => undefined);
        this.#links = options.links ?? silentLinkObserver;
        this.#openSocket = options.openSocket ?? connect;
    }

    /** Returns a connection that was idle for less than `maximumIdleMs`, or opens one. */
    acquire(endpoint: EndpointRecord, maximumIdleMs: number): EndpointConnection {
        const connections = this.#connectionsOf(endpoint);
        for (const connection of connections.idle.toReversed()) {
            if (connection.isUsable(maximumIdleMs)) {
                connections.idle.splice(connections.idle.indexOf(connection), 1);
                return connection;
            }
            // Requests that may be repeated can still use one that was idle for too long for this one.
            if (!connection.isUsable(Infinity)) {
                connection.close("The connection was idle for too long.");
            }
        }
        this.#opened += 1;
        const opened = new EndpointConnection({
            clock: this.#clock,
            openSocket: this.#openSocket,
            endpoint,
            observer: this.#links,
            name: String(this.#opened),
            onIdle: connection => {
                connections.idle.push(connection);
                if (
                    connections.idle.length > maximumIdleConnections || this.#endpoints.get(endpoint.endpointId) !== connections
                ) {
                    connections.idle.shift()?.close("The pool has too many idle connections.");
                }
            },
            onClosed: connection => {
                const index = connections.idle.indexOf(connection);
                if (index !== -1) {
                    connections.idle.splice(index, 1);
                }
            },
        });
        this.#onOpened(endpoint.service);
        return opened;
    }

    /** Whether a connection is open that was idle for less than `maximumIdleMs`. */
    hasIdle(endpoint: EndpointRecord, maximumIdleMs: number): boolean {
        return this.#connectionsOf(endpoint).idle.some(connection => connection.isUsable(maximumIdleMs));
    }

    /** Closes the idle connections of an endpoint that was removed; those in use stay open until their response is complete. */
    forget(endpointId: EndpointId): void {
        const connections = this.#endpoints.get(endpointId);
        this.#endpoints.delete(endpointId);
        for (const connection of [...connections?.idle ?? []]) {
            connection.close("The endpoint was removed.");
        }
    }

    #connectionsOf(endpoint: EndpointRecord): EndpointConnections {
        const known = this.#endpoints.get(endpoint.endpointId);
        if (known?.startedAtMs === endpoint.startedAtMs && known.address === endpoint.address) {
            return known;
        }
        this.forget(endpoint.endpointId);
        const created = {
            startedAtMs: endpoint.startedAtMs,
            address: endpoint.address,
            idle: [],
        };
        this.#endpoints.set(endpoint.endpointId, created);
        return created;
    }
}
