import { Socket } from "node:net";

/** An empty line, which HTTP servers ignore between requests. */
const resetProbe = "\r\n";

/**
 * A socket that tells an orderly end from a reset. The runtime reports a reset that arrives together with data as an end, and the HTTP
 * library takes a reset for the end of an answer without a length.
 */
export class OrderlySocket extends Socket {
    #isEndChecked = false;

    override emit(event: string | symbol, ...values: unknown[]): boolean {
        if (event === "end" && !this.#isEndChecked) {
            this.#isEndChecked = true;
            this.#checkEnd();
            return true;
        }
        const [error] = values;
        if (event === "error" && error instanceof Error && "code" in error && error.code === "ECONNRESET") {
            return super.emit(event, new Error(`The connection was reset: ${error.message}`, { cause: error }));
        }
        return super.emit(event, ...values);
    }

    /** A write fails only after a reset. */
    #checkEnd(): void {
        if (!this.writable) {
            super.emit("end");
            return;
        }
        this.write(resetProbe, error => {
            if (error === undefined || error === null) {
                super.emit("end");
            }
        });
    }
}

/** Opens a connection; calls back with an error if it is not accepted in time. */
export function connectOrderly(
    { hostname, port }: { readonly hostname: string; readonly port: string; },
    timeoutMs: number,
    callback: (error: Error | null, socket: Socket | null) => void,
): void {
    const socket = new OrderlySocket();
    const fail = (error: Error): void => callback(error, null);
    socket.setNoDelay(true);
    socket.setKeepAlive(true, keepAliveMs);
    socket.setTimeout(timeoutMs, () => socket.destroy(new Error(`No connection was accepted within ${timeoutMs} ms.`)));
    socket.once("error", fail);
    socket.connect(Number(port), hostname, () => {
        socket.setTimeout(0);
        socket.off("error", fail);
        callback(null, socket);
    });
}

/** Idle time after which the system probes a connection. */
const keepAliveMs = 60_000;
