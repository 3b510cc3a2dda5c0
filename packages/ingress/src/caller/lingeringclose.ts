import type { Clock } from "@filbertrelay/kernel";
import type { Socket } from "node:net";

/** Longest time for which a connection is read on after the host has closed its side. */
const lingerLimitMs = 10_000;
/** A caller that has sent nothing for this long, with its answer on the way, is not in the middle of sending. */
const quietMs = 1_000;
/** Most bytes that are read and discarded; a caller that sends more is not waiting for an answer. */
const discardLimitBytes = 2_097_152;

/**
 * Closes a connection so that its last answer arrives: the host closes its own side, then reads and discards what the caller still
 * sends (RFC 9112, section 9.6). Bytes that no process reads would reset the connection, and the reset would overtake the rest of an
 * answer that is still on the way.
 */
export class LingeringClose {
    readonly #socket: Socket;
    readonly #clock: Clock;
    readonly #startedMs: number;
    #heardMs: number;
    #discardedBytes = 0;
    #cancel: (() => void) | undefined;

    private constructor(socket: Socket, clock: Clock) {
        this.#socket = socket;
        this.#clock = clock;
        this.#startedMs = clock.monotonicMs();
        this.#heardMs = this.#startedMs;
    }

    /** Closes the host's side after what was written; the connection is closed as soon as the caller closes its own. */
    static begin(socket: Socket, clock: Clock): void {
        if (!socket.destroyed) {
            new LingeringClose(socket, clock).#begin();
        }
    }

    #begin(): void {
        const socket = this.#socket;
        socket.setTimeout(0);
        socket.on("error", () => undefined);
        socket.end();
        if (socket.readableEnded) {
            this.#destroyWhenSent();
            return;
        }
        // Node.js hands the connection over to whoever listens for its data, so that no further request is parsed.
        socket.removeAllListeners("data");
        socket.on("data", (bytes: Buffer) => this.#discard(bytes));
        socket.once("end", () => this.#destroyWhenSent());
        socket.once("close", () => this.#cancel?.());
        socket.resume();
        this.#schedule(quietMs);
    }

    #destroyWhenSent(): void {
        if (this.#socket.writableFinished) {
            this.#socket.destroy();
        }
        else {
            this.#socket.once("finish", () => this.#socket.destroy());
        }
    }

    #discard(bytes: Buffer): void {
        this.#heardMs = this.#clock.monotonicMs();
        this.#discardedBytes += bytes.length;
        if (this.#discardedBytes > discardLimitBytes) {
            this.#socket.destroy();
        }
    }

    #schedule(delayMs: number): void {
        this.#cancel = this.#clock.after(delayMs, () => this.#check());
    }

    #check(): void {
        const nowMs = this.#clock.monotonicMs();
        const quietForMs = nowMs - this.#heardMs;
        const isQuiet = quietForMs >= quietMs;
        if (isQuiet && this.#socket.writableFinished || nowMs - this.#startedMs >= lingerLimitMs) {
            this.#socket.destroy();
        }
        else {
            this.#schedule(isQuiet ? quietMs : quietMs - quietForMs);
        }
    }
}
