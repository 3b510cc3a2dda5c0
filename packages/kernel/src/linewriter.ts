import { fstatSync, writeSync } from "node:fs";
import { Socket } from "node:net";
import type { Clock } from "./clock.js";

/** Writes lines without blocking on a slow reader. */
export interface LineWriter {
    /** Writes a line; drops and counts it if the buffer is full. */
    write(line: string): void;
}

/** Options of `createLineWriter`. */
export interface LineWriterOptions {
    /** An open file descriptor, such as 1 for standard output. */
    readonly descriptor: number;
    readonly clock: Clock;
    /** The size of the buffer for a slow reader, in bytes; 256 KiB by default. */
    readonly bufferBytes?: number;
}

const defaultBufferBytes = 262_144;
/** Lines are batched for this long: on a small host a write system call costs as much as producing a line. */
const batchMs = 100;
/** A batch is written after this time if no later line does it; a timer alone costs as much as the write. */
const longestBatchMs = 300;

/**
 * Creates a line writer. Node.js writes to a standard output pipe synchronously, so a reader that stops reading would block the
 * process. Pipes and sockets are therefore written through a separate socket with a bounded buffer.
 */
export function createLineWriter(options: LineWriterOptions): LineWriter {
    const { descriptor, clock, bufferBytes = defaultBufferBytes } = options;
    const status = fstatSync(descriptor);
    if (!status.isFIFO() && !status.isSocket()) {
        return { write: line => void writeSync(descriptor, `${line}\n`) };
    }
    const socket = new Socket({ fd: descriptor, readable: false, writable: true });
    let batch = "";
    let begunMs = 0;
    let cancelTimer = (): void => undefined;
    let dropped = 0;
    const flush = (): void => {
        cancelTimer();
        const text = batch;
        batch = "";
        if (text !== "") {
            socket.write(text);
        }
    };
    // The reader is gone, so the error can't be reported; the process continues.
    socket.on("error", () => undefined);
    process.on("exit", flush);
    return {
        write: line => {
            if (socket.writableLength + batch.length > bufferBytes || socket.destroyed) {
                dropped += 1;
                return;
            }
            const notice = dropped === 0 ?
                "" :
                `${JSON.stringify({ level: "warn", text: "Log lines were dropped.", dropped })}\n`;
            dropped = 0;
            const nowMs = clock.monotonicMs();
            if (batch === "") {
                begunMs = nowMs;
                cancelTimer = clock.after(longestBatchMs, flush);
            }
            batch += `${notice}${line}\n`;
            if (nowMs - begunMs >= batchMs) {
                flush();
            }
        },
    };
}
