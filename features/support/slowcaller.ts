import { connect } from "node:net";
import type { Socket } from "node:net";

/** A whole answer as received by a caller. */
export interface ReceivedAnswer {
    readonly status: number;
    readonly bodyBytes: number;
}

/** A caller that reads only when told to, and may send whatever it wants meanwhile. */
export class SlowCaller {
    readonly #socket: Socket;
    readonly #received: Buffer[] = [];
    #isEnded = false;
    #error: Error | undefined;

    /** `isHalfOpen` keeps its side of the connection open after the host has closed its own. */
    constructor(port: number, isHalfOpen = false) {
        this.#socket = connect({ port, host: "127.0.0.1", allowHalfOpen: isHalfOpen });
        // Without a listener for `data` the socket reads up to its own buffer only.
        this.#socket.on("readable", () => undefined);
        this.#socket.on("end", () => {
            this.#isEnded = !isHalfOpen;
        });
        this.#socket.on("error", error => {
            this.#error = error;
        });
        this.#socket.on("close", () => {
            this.#isEnded = true;
        });
    }

    /** Whether the connection is closed. */
    get isEnded(): boolean {
        return this.#isEnded;
    }

    /** Whether the connection ended without a reset. */
    get isClean(): boolean {
        return this.#isEnded && this.#error === undefined;
    }

    send(text: string): void {
        if (text !== "" && this.#socket.writable) {
            this.#socket.write(text, "latin1");
        }
    }

    /** Reads what has arrived, `bytes` at most. */
    read(bytes: number): void {
        const available = Math.min(bytes, this.#socket.readableLength);
        const piece: unknown = available === 0 ? this.#socket.read(0) : this.#socket.read(available);
        if (piece instanceof Buffer) {
            this.#received.push(piece);
        }
    }

    /** Reads everything up to the end of the connection, for 5 s at most. */
    async readAll(): Promise<void> {
        const untilMs = performance.now() + 5_000;
        while (!this.#isEnded && performance.now() < untilMs) {
            this.read(Infinity);
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        this.read(Infinity);
    }

    /** The whole answers that were received, in order; what is left of a cut one is not among them. */
    answers(): readonly ReceivedAnswer[] {
        const answers: ReceivedAnswer[] = [];
        let rest = Buffer.concat(this.#received);
        for (;;) {
            const headBytes = rest.indexOf("\r\n\r\n") + 4;
            const head = rest.subarray(0, Math.max(0, headBytes)).toString("latin1");
            const status = /^HTTP\/1\.1 (\d+) /.exec(head)?.[1];
            const bodyBytes = Number(/^content-length: (\d+)/im.exec(head)?.[1]);
            if (status === undefined || !(rest.length >= headBytes + bodyBytes)) {
                return answers;
            }
            answers.push({ status: Number(status), bodyBytes });
            rest = rest.subarray(headBytes + bodyBytes);
        }
    }

    /** All that was received. */
    text(): string {
        return Buffer.concat(this.#received).toString("latin1");
    }

    close(): void {
        this.#socket.destroy();
    }
}
