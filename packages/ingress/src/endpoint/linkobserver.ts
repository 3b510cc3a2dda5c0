import type { EndpointRecord } from "../contract.js";

/** Told of what happens on this host's own connections to endpoints, from which follows whether its links work. */
export interface LinkObserver {
    /** A new connection has brought its first bytes, which it takes to know that it leads to the endpoint. */
    connected(endpoint: EndpointRecord): void;
    /** A new connection was refused, reset or not accepted in time. */
    connectFailed(endpoint: EndpointRecord): void;
    /** A request was sent on a connection, which carries one at a time; `connection` names it until the end of the request. */
    sent(connection: string, endpoint: EndpointRecord): void;
    /** Nothing more is expected of the request: it is answered, failed or cancelled. */
    ended(connection: string): void;
    /** Bytes of the endpoint have arrived. */
    heard(endpoint: EndpointRecord): void;
    /** A connection with a request in progress was reset or closed by the other side. */
    lost(endpoint: EndpointRecord): void;
}

/** An observer that needs to know nothing. */
export const silentLinkObserver: LinkObserver = {
    connected: () => undefined,
    connectFailed: () => undefined,
    sent: () => undefined,
    ended: () => undefined,
    heard: () => undefined,
    lost: () => undefined,
};
