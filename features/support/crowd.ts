import { connect } from "node:net";
import type { Socket } from "node:net";
import { customerKey } from "./ingress.js";

/** What one connection of a crowd sends; the rest is sent again and again, `count` times at most. */
interface Payload {
    readonly start: string;
    readonly rest: Buffer;
    readonly count: number;
    /** Whether a closed connection is opened again, as long as there is something left to send. */
    readonly reopens: boolean;
}

const headerLines = `Host: shop.example\r\nAuthorization: Bearer ${customerKey}\r\nX-Filbertrelay-Deadline-Ms: 5000\r\n`;
const post = `POST /nonIdempotent/item HTTP/1.1\r\n${headerLines}X-Filbertrelay-Attempt-Id: crowd\r\n`;
const get = (target: string): string => `GET ${target} HTTP/1.1\r\n${headerLines}X-Filbertrelay-Attempt-Id: crowd\r\n\r\n`;
const chunk = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;
const chunked = `${post}Transfer-Encoding: chunked\r\n\r\n`;

function repeat(start: string, text: string, count: number, reopens = false): Payload {
    return { start, rest: Buffer.from(text, "latin1"), count, reopens };
}

/** The limits of the host's configuration, in bytes. */
export const bodyLimitBytes = 4_194_304;

const payloads: Readonly<Record<string, Payload>> = {
    "nothing": repeat("", "", 0),
    "large chunks without the last one": repeat(chunked, chunk(65_536), 62),
    "chunks of one byte": repeat(chunked, chunk(1).repeat(1_000), 400),
    "a body announced far over the limit": repeat(`${post}Content-Length: 1000000000\r\n\r\n`, "x".repeat(65_536), 800, true),
    "a body sent far over the limit": repeat(chunked, chunk(1_000_000), 50, true),
    "chunks without end": repeat(chunked, chunk(8_192), 6_000, true),
    "a body short of one byte": repeat(
        `${post}Content-Length: ${bodyLimitBytes}\r\n\r\n${"x".repeat(65_535)}`,
        "x".repeat(65_536),
        63,
    ),
    "heads without end": repeat("GET / HTTP/1.1\r\n", "a: b\r\n".repeat(1_000), 500, true),
    "requests sent ahead": repeat("", get("/idempotent/item").repeat(200), 250),
    "readiness checks sent ahead": repeat("", "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n".repeat(1_000), 100),
    "lookups sent ahead": repeat("", "GET /resolution?name=a HTTP/1.1\r\nHost: a\r\n\r\n".repeat(500), 100),
    "metrics requests sent ahead": repeat("", "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".repeat(500), 40),
};

/** The crowd ends its sending when nothing more was taken for this long. */
const quietMs = 1_500;
/** No kind needs longer; a host that takes everything is fast. */
const sendLimitMs = 12_000;

/** Connections that send what no caller should and read no answers; they stay open until `close`. */
export class Crowd {
    readonly #port: number;
    readonly #payload: Payload;
    readonly #sockets = new Set<Socket>();
    #takenMs = performance.now();
    #isClosed = false;

    constructor(port: number, kind: string) {
        const payload = payloads[kind];
        if (payload === undefined) {
            throw new Error(`Unknown kind '${kind}'.`);
        }
        this.#port = port;
        this.#payload = payload;
    }

    /** Opens the connections and sends until no more is taken. */
    async send(connections: number): Promise<void> {
        const startMs = performance.now();
        for (let index = 0; index < connections; index += 1) {
            this.#open(this.#payload.count);
        }
        while (performance.now() - this.#takenMs < quietMs && performance.now() - startMs < sendLimitMs) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    }

    close(): void {
        this.#isClosed = true;
        this.#sockets.forEach(socket => socket.destroy());
    }

    #open(count: number): void {
        const { start, rest, reopens } = this.#payload;
        let left = count;
        const socket = connect(this.#port, "127.0.0.1");
        this.#sockets.add(socket);
        const sendMore = (): void => {
            this.#takenMs = performance.now();
            while (left > 0 && !socket.destroyed) {
                left -= 1;
                if (!socket.write(rest)) {
                    return;
                }
            }
        };
        socket.pause();
        socket.on("connect", () => {
            socket.write(start, "latin1");
            sendMore();
        });
        socket.on("drain", sendMore);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            this.#sockets.delete(socket);
            if (reopens && left > 0 && !this.#isClosed) {
                setTimeout(() => this.#open(left), 20);
            }
        });
    }
}
