import { fstatSync, writeSync } from "node:fs";
import { Socket } from "node:net";
import type { Clock } from "./clock.js";

/** Writes lines without ever waiting for their reader. */
export interface LineWriter {
    /** Writes a line, or counts it as dropped when the reader is too slow. */
    write(line: string): void;
}

/** Options of `createLineWriter`. */
export interface LineWriterOptions {
    /** Open file descriptor, such as 1 for standard output. */
    readonly descriptor: number;
    readonly clock: Clock;
    /** Bytes kept for a slow reader; 256 KiB by default. */
    readonly bufferBytes?: number;
}

const defaultBufferBytes = 262_144;
/** Lines of this time go out in one write: a system call costs a small host as much as the line itself. */
const gatherMs = 25;

/**
 * Creates a writer. Node.js writes to pipes of standard output synchronously, so that a reader that stops reading would stop
 * the process; pipes and sockets are therefore written through a socket of their own with a bounded buffer.
 */
export function createLineWriter(options: LineWriterOptions): LineWriter {
    const { descriptor, clock, bufferBytes = defaultBufferBytes } = options;
    const status = fstatSync(descriptor);
    if (!status.isFIFO() && !status.isSocket()) {
        return { write: line => void writeSync(descriptor, `${line}\n`) };
    }
    const socket = new Socket({ fd: descriptor, readable: false, writable: true });
    let gathered = "";
    let dropped = 0;
    const flush = (): void => {
        const text = gathered;
        gathered = "";
        if (text !== "") {
            socket.write(text);
        }
    };
    // Without a reader nothing can be reported any more; the process goes on.
    socket.on("error", () => undefined);
    process.on("exit", flush);
    return {
        write: line => {
            if (socket.writableLength + gathered.length > bufferBytes || socket.destroyed) {
                dropped += 1;
                return;
            }
            const notice = dropped === 0 ?
                "" :
                `${JSON.stringify({ level: "warn", text: "Log lines were dropped.", dropped })}\n`;
            dropped = 0;
            if (gathered === "") {
                clock.after(gatherMs, flush);
            }
            gathered += `${notice}${line}\n`;
        },
    };
}
