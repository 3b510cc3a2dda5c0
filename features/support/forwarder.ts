import { connect, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { Transform } from "node:stream";

/** A TCP forwarder in front of one address. */
export interface Forwarder {
    readonly address: string;
    readonly server: Server;
    readonly recorded: Buffer[];
    readonly sockets: Socket[];
    /** Connections that were opened through it. */
    connections: number;
    /** How late everything is passed on. */
    delayMs: number;
    /** Keeps all open connections open and passes nothing on. */
    blackHole(): void;
}

/** Opens a forwarder to a port of this machine. */
export async function openForwarder(target: string): Promise<Forwarder> {
    const recorded: Buffer[] = [];
    const sockets: Socket[] = [];
    const port = Number(target.split(":")[1]);
    const server = createServer(socket => {
        const upstream = connect(port, "127.0.0.1");
        sockets.push(socket, upstream);
        forwarder.connections += 1;
        socket.on("data", chunk => recorded.push(chunk)).on("error", () => undefined).pipe(createDelay()).pipe(upstream);
        upstream.on("error", () => undefined).pipe(createDelay()).pipe(socket);
    });
    const createDelay = (): Transform =>
        new Transform({
            transform(chunk: Buffer, _, callback) {
                setTimeout(() => this.push(chunk), forwarder.delayMs);
                callback();
            },
            flush: callback => void setTimeout(callback, forwarder.delayMs),
        });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const blackHole = () =>
        sockets.splice(0).forEach(socket => {
            socket.unpipe();
            socket.removeAllListeners("data").on("data", () => undefined);
        });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const forwarder: Forwarder = { address, server, recorded, sockets, connections: 0, delayMs: 0, blackHole };
    return forwarder;
}
