import { splitAddress } from "@filbertrelay/kernel";
import type { Clock } from "@filbertrelay/kernel";
import type { EndpointRecord } from "../contract.js";
import type { OpenSocket } from "./socket.js";

/** `answered`: the endpoint can be reached; `unreachable`: no connection to it; `silent`: one that brings nothing. */
export type ProbeResult = "answered" | "unreachable" | "silent";

/** Options of `probeEndpoint`. */
export interface StatusProbeOptions {
    readonly clock: Clock;
    readonly openSocket: OpenSocket;
    /** Path of a status request; without one an accepted connection has to do. */
    readonly statusPath: string | undefined;
}

/** Connecting takes a few milliseconds within a region. */
const connectTimeoutMs = 400;
/** Status requests don't wait for other requests. */
const answerTimeoutMs = 600;

/** Opens a connection to an endpoint and asks for its status: something on the way may accept connections that lead nowhere. */
export function probeEndpoint(
    endpoint: EndpointRecord,
    { clock, openSocket, statusPath }: StatusProbeOptions,
): Promise<ProbeResult> {
    return new Promise(resolve => {
        const socket = openSocket(splitAddress(endpoint.address));
        let cancelTimer = clock.afterInput(connectTimeoutMs, () => finish("unreachable"));
        const finish = (result: ProbeResult): void => {
            cancelTimer();
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => {
            if (statusPath === undefined) {
                finish("answered");
                return;
            }
            cancelTimer();
            cancelTimer = clock.afterInput(answerTimeoutMs, () => finish("silent"));
            socket.write(`GET ${statusPath} HTTP/1.1\r\nHost: ${endpoint.address}\r\nConnection: close\r\n\r\n`, "latin1");
        });
        socket.once("data", () => finish("answered"));
        socket.once("error", () => finish("unreachable"));
        socket.once("close", () => finish("unreachable"));
    });
}
