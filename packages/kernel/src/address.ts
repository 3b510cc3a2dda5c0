import { isIPv4 } from "node:net";
import type { Server } from "node:net";
import type { Clock } from "./clock.js";

/** Host and port of an address such as `127.0.0.1:7700`. */
export interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/** Splits an address at its last colon. */
export function splitAddress(address: string): HostAndPort {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** Highest port of TCP. */
const maximumPort = 65_535;

/** Whether text is an IPv4 address and a port in decimal digits. Port 0, any free port, is usable for listening only. */
export function isSocketAddress(text: string): boolean {
    const { host, port } = splitAddress(text);
    return isIPv4(host) && /:\d{1,5}$/.test(text) && port <= maximumPort;
}

/** Whether text is an IPv4 address and a port that connections can be opened to. */
export function isRemoteAddress(text: string): boolean {
    return isSocketAddress(text) && splitAddress(text).port > 0;
}

/** An address may be in use for a moment, by a process that ends or by an outgoing connection; listening is tried again for this long. */
const listenLimitMs = 5_000;
const listenRetryMs = 200;

/** Makes a server listen on an address; rejects with the server's error if it can't. */
export async function listenOn(server: Server, address: string, clock: Clock): Promise<void> {
    for (let leftMs = listenLimitMs;; leftMs -= listenRetryMs) {
        const error = await tryToListen(server, splitAddress(address));
        if (error === undefined) {
            // An error of a listening server concerns one connection that could not be accepted.
            server.on("error", () => undefined);
            return;
        }
        if (leftMs <= 0 || !("code" in error) || error.code !== "EADDRINUSE") {
            throw error;
        }
        await clock.sleep(listenRetryMs);
    }
}

function tryToListen(server: Server, { host, port }: HostAndPort): Promise<Error | undefined> {
    return new Promise(resolve => {
        const onListening = (): void => {
            server.removeListener("error", onError);
            resolve(undefined);
        };
        const onError = (error: Error): void => {
            server.removeListener("listening", onListening);
            resolve(error);
        };
        server.once("error", onError);
        server.once("listening", onListening);
        server.listen(port, host);
    });
}
