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

/** Makes a server listen on an address; rejects with the server's error if it can't. */
export function listenOn(server: Server, address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
}
