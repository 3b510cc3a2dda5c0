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
    /** The rate of each direction, which all connections share. */
    bytesPerMs: number;
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
        socket.on("data", chunk => recorded.push(chunk)).on("error", () => undefined).pipe(createDelay(up)).pipe(upstream);
        upstream.on("error", () => undefined).pipe(createDelay(down)).pipe(socket);
    });
    const [up, down] = [{ freeMs: 0 }, { freeMs: 0 }];
    const createDelay = (lane: { freeMs: number; }): Transform => {
        const occupy = (bytes: number): number => {
            const nowMs = performance.now();
            lane.freeMs = Math.max(lane.freeMs, nowMs) + bytes / forwarder.bytesPerMs;
            return lane.freeMs - nowMs + forwarder.delayMs;
        };
        return new Transform({
            transform(chunk: Buffer, _, callback) {
                setTimeout(() => this.push(chunk), occupy(chunk.length));
                callback();
            },
            flush: callback => void setTimeout(callback, occupy(0)),
        });
    };
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const blackHole = () =>
        sockets.splice(0).forEach(socket => {
            socket.unpipe();
            socket.removeAllListeners("data").on("data", () => undefined);
        });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const forwarder: Forwarder = {
        address,
        server,
        recorded,
        sockets,
        connections: 0,
        delayMs: 0,
        bytesPerMs: Infinity,
        blackHole,
    };
    return forwarder;
}
