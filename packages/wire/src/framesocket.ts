import type { Outcome } from "@filbertrelay/kernel";
import type { Socket } from "node:net";
import { encodeFrame, FrameReader } from "./frame.js";
import type { Frame, FrameIssue } from "./frame.js";

type FrameHandler = (frame: Frame, bytes: number) => void;

/** A TCP socket that sends and receives frames. */
export class FrameSocket {
    readonly #socket: Socket;
    readonly #reader: FrameReader;
    readonly #closeCallbacks: ((reason: string) => void)[] = [];
    readonly #drainCallbacks: (() => void)[] = [];
    #handler: FrameHandler | undefined;
    #closeReason: string | undefined;

    constructor(socket: Socket, limitBytes: number) {
        this.#socket = socket;
        this.#reader = new FrameReader(limitBytes);
        socket.setNoDelay(true);
        socket.on("data", (chunk: Buffer) => this.#receive(chunk));
        socket.on("drain", () => this.#wakeNext());
        socket.on("error", error => this.close(error.message));
        socket.on("close", () => this.close("The peer closed the connection."));
    }

    /** Whether frames can still be sent. */
    get isOpen(): boolean {
        return this.#closeReason === undefined && this.#socket.writable;
    }

    /** Sets the largest body accepted and sent, in bytes. */
    set limitBytes(limitBytes: number) {
        this.#reader.limitBytes = limitBytes;
    }

    /** Sets the handler of all further frames. */
    onFrame(handler: FrameHandler): void {
        this.#handler = handler;
        this.#dispatch();
    }

    /** Waits for one frame; rejects if the socket closes first. */
    nextFrame(): Promise<{ readonly frame: Frame; readonly bytes: number; }> {
        return new Promise((resolve, reject) => {
            this.onClose(reason => reject(new Error(reason)));
            this.onFrame((frame, bytes) => {
                this.#handler = undefined;
                resolve({ frame, bytes });
            });
        });
    }

    /** Sends a frame; returns its size in bytes, or an issue if nothing was sent. */
    send(frame: Frame): Outcome<number, FrameIssue> {
        const encoded = encodeFrame(frame, this.#reader.limitBytes);
        if (!encoded.ok) {
            return encoded;
        }
        this.#socket.write(encoded.value);
        return { ok: true, value: encoded.value.length };
    }

    /**
     * Resolves when the socket's write buffer has drained or the socket has closed. Those who wait take turns, so that other frames
     * queue behind one frame of a long reply and not behind one of each.
     */
    async waitForDrain(): Promise<void> {
        while (this.isOpen && this.#socket.writableNeedDrain) {
            await new Promise<void>(resolve => this.#drainCallbacks.push(resolve));
        }
    }

    /** Registers a callback for when the socket closes; called immediately if it is already closed. */
    onClose(callback: (reason: string) => void): void {
        if (this.#closeReason === undefined) {
            this.#closeCallbacks.push(callback);
            return;
        }
        callback(this.#closeReason);
    }

    /** Closes the socket and discards buffered data. */
    close(reason: string): void {
        if (this.#closeReason !== undefined) {
            return;
        }
        this.#closeReason = reason;
        this.#handler = undefined;
        this.#socket.destroy();
        this.#closeCallbacks.splice(0).forEach(callback => callback(reason));
        this.#drainCallbacks.splice(0).forEach(callback => callback());
    }

    /** Lets the one that waits longest send before the next one, unless the buffer is full again. */
    #wakeNext(): void {
        const next = this.#socket.writableNeedDrain ? undefined : this.#drainCallbacks.shift();
        if (next !== undefined) {
            next();
            setImmediate(() => this.#wakeNext());
        }
    }

    #receive(chunk: Buffer): void {
        this.#reader.push(chunk);
        this.#dispatch();
    }

    // Frames stay in the reader while no handler is set, so that the size limit set after the handshake applies to them.
    #dispatch(): void {
        while (this.#handler !== undefined) {
            const next = this.#reader.next();
            if (next === undefined) {
                return;
            }
            if (!next.ok) {
                this.close(next.issue.message);
                return;
            }
            this.#handler(next.value.frame, next.value.bytes);
        }
    }
}
