import { isIPv4 } from "node:net";
import type { Server } from "node:net";

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

/** Makes a server listen on an address; rejects with the server's error if it can't. */
export function listenOn(server: Server, address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
}
