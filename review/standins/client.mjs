// A stand-in for a client: one request on a channel, and the answer as the bytes on the channel say it.
import { connect } from "node:net";

let requests = 0;

/** Returns an id that no other request of this process has. */
export function nextId(label) {
    requests += 1;
    return `${label}-${process.pid}-${requests}`;
}

/**
 * Sends one request on a channel of its own, which stays open until the answer is complete. Resolves with what came: `status` 0 if no
 * head came, `isComplete` if the answer ended as its framing says.
 */
export function send(address, { id, method = "GET", path, host, headers = {}, body = "", waitMs = 4_000, cutMs }) {
    const [ip, port] = address.split(":");
    return new Promise(resolve => {
        const sentMs = Date.now();
        const socket = connect({ host: ip, port: Number(port), noDelay: true });
        let received = "";
        let isSent = false;
        const finish = ending => {
            clearTimeout(timer);
            socket.destroy();
            resolve({ id, address, path, isSent, sentMs, endedMs: Date.now(), ending, ...parseAnswer(received) });
        };
        const timer = setTimeout(() => finish("time limit"), waitMs + 500);
        if (cutMs !== undefined) {
            setTimeout(() => finish("cut"), Math.min(cutMs, waitMs));
        }
        socket.on("connect", () => {
            isSent = true;
            const lines = Object.entries({
                Host: host,
                "X-Filbertrelay-Attempt-Id": id,
                "X-Filbertrelay-Deadline-Ms": waitMs,
                ...headers,
                ...(body === "" ? {} : { "Content-Length": body.length }),
            }).map(([name, value]) => `${name}: ${value}\r\n`);
            socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`);
        });
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (parseAnswer(received).isComplete) {
                finish("complete");
            }
        });
        socket.on("end", () => finish("closed"));
        socket.on("error", error => finish(error.code));
        socket.on("close", () => finish("closed"));
    });
}

/** Reads an answer as far as it has come. */
export function parseAnswer(received) {
    const end = received.indexOf("\r\n\r\n");
    if (end === -1) {
        return { status: 0, headers: {}, body: "", isComplete: false };
    }
    const [first, ...lines] = received.slice(0, end).split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const rest = received.slice(end + 4);
    const framed = headers["transfer-encoding"] === "chunked" ?
        readChunks(rest) :
        { body: rest, isComplete: rest.length >= Number(headers["content-length"] ?? Infinity) };
    return { status: Number(first.split(" ")[1]), headers, ...framed };
}

function readChunks(rest) {
    let body = "";
    for (let at = 0;;) {
        const lineEnd = rest.indexOf("\r\n", at);
        const size = lineEnd === -1 ? Number.NaN : parseInt(rest.slice(at, lineEnd), 16);
        if (Number.isNaN(size) || rest.length < lineEnd + 2 + size + 2) {
            return { body, isComplete: false };
        }
        if (size === 0) {
            return { body, isComplete: true };
        }
        body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
        at = lineEnd + 2 + size + 2;
    }
}

/** A channel that a client keeps for many requests, one after the other. */
export class KeptChannel {
    #address;
    #socket;
    #received = "";
    #finish;

    constructor(address) {
        this.#address = address;
    }

    /** Sends a request, on a new channel if the former one was closed. Resolves like `send`, with `isKept` besides. */
    request({ id, method = "GET", path, host, headers = {}, body = "", waitMs = 4_000 }) {
        const isKept = this.#socket !== undefined;
        const socket = this.#socket ?? this.#open();
        return new Promise(resolve => {
            const sentMs = Date.now();
            const timer = setTimeout(() => this.#finish?.("time limit"), waitMs + 500);
            this.#received = "";
            this.#finish = ending => {
                this.#finish = undefined;
                clearTimeout(timer);
                const answer = parseAnswer(this.#received);
                if (ending !== "complete" || answer.headers.connection === "close") {
                    this.#drop(socket);
                }
                resolve({ id, address: this.#address, path, isKept, sentMs, endedMs: Date.now(), ending, ...answer });
            };
            const lines = Object.entries({
                Host: host,
                "X-Filbertrelay-Attempt-Id": id,
                "X-Filbertrelay-Deadline-Ms": waitMs,
                ...headers,
                ...(body === "" ? {} : { "Content-Length": body.length }),
            }).map(([name, value]) => `${name}: ${value}\r\n`);
            socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n${body}`);
        });
    }

    close() {
        this.#finish?.("left");
        this.#socket?.destroy();
    }

    #open() {
        const [ip, port] = this.#address.split(":");
        const socket = connect({ host: ip, port: Number(port), noDelay: true });
        this.#socket = socket;
        const lose = ending => {
            if (this.#socket === socket) {
                this.#drop(socket);
                this.#finish?.(ending);
            }
        };
        socket.on("data", bytes => {
            this.#received += bytes.toString("latin1");
            if (parseAnswer(this.#received).isComplete) {
                this.#finish?.("complete");
            }
        });
        socket.on("end", () => lose("closed"));
        socket.on("error", error => lose(error.code));
        socket.on("close", () => lose("closed"));
        return socket;
    }

    #drop(socket) {
        if (this.#socket === socket) {
            this.#socket = undefined;
        }
        socket.destroy();
    }
}
