import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";

let fleets = 0;

/**
 * Picks a loopback address for one fleet. Outgoing connections use 127.0.0.1 as their source, so a port that was found
 * free on another loopback address can't be taken by them before the daemon listens on it.
 */
export function pickLoopbackAddress(): string {
    fleets += 1;
    const number = process.pid * 31 + fleets;
    return `127.${1 + number % 250}.${1 + Math.floor(number / 250) % 250}.1`;
}

/** Finds free ports, all different, by letting the system choose. */
export async function findFreePorts(address: string, count: number): Promise<readonly number[]> {
    const servers = await Promise.all(Array.from({ length: count }, () => listen(address)));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function listen(address: string): Promise<Server> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, address, () => resolve(server));
    });
}
