import type { EndpointRecord } from "../contract.js";
import type { EndpointRequest, EndpointResponseHandler } from "./connection.js";

/** A way by which one request at a time goes to an endpoint: a connection of this host, or another host. */
export interface EndpointLink {
    /** Whether its connection to the endpoint has carried an earlier request, whose response may still be duplicated late. */
    readonly isReused: boolean;
    /** Whether another host sends the request to the endpoint. */
    readonly isRelayed: boolean;
    send(request: EndpointRequest, handler: EndpointResponseHandler): void;
    /** Stops reading until `resume`, so that a slow caller does not exhaust memory. */
    pause(): void;
    resume(): void;
    /** Ends the request, by which the endpoint cancels it; a handler that still waits gets its failure first. */
    close(reason?: string): void;
}

/** Connections of this host to endpoints. */
export interface LinkSource {
    /** Returns a connection that was idle for less than `maximumIdleMs`, or opens one. */
    acquire(endpoint: EndpointRecord, maximumIdleMs: number): EndpointLink;
}
