// A stand-in for an engine, which writes its answers as raw bytes, so that a faulty one can be played.
import { createServer } from "node:net";

/** Work of a plain request and of an event of a stream. */
const workMs = 60;
const eventMs = 40;
/** Events of a whole stream. */
export const streamEvents = 10;

/**
 * A sound engine by default: it echoes the request's id, signs, answers 421 to requests for another engine, resumes a stream after
 * `Last-Event-Id` and drops a request whose channel closes. `fault` may answer a request in its place.
 */
export class Engine {
    /** What reached this engine: time, id, method and target. */
    arrivals = [];
    /** Requests that began to run here. */
    runs = [];
    /** `fault(request, channel)` returns whether it answers the request by itself. */
    fault = () => false;
    /** Options of `stream`. */
    streamOptions = {};
    /** The version of its software, and when the present process started. */
    version = "v1";
    bornMs = Date.now();
    isDown = false;
    #id;
    #sockets = new Set();
    #server = createServer(socket => this.#accept(socket));

    constructor(id) {
        this.#id = id;
    }

    get id() {
        return this.#id;
    }

    async start(ip) {
        await new Promise(resolve => this.#server.listen(0, ip, resolve));
        this.address = `${ip}:${this.#server.address().port}`;
    }

    /** Ends all channels and is back after a while under the same id and address, perhaps with other software. */
    async crash(downMs, { version = this.version } = {}) {
        const [ip, port] = this.address.split(":");
        this.isDown = true;
        this.#server.close();
        this.#sockets.forEach(socket => socket.resetAndDestroy());
        await new Promise(resolve => setTimeout(resolve, downMs));
        this.#server = createServer(socket => this.#accept(socket));
        await new Promise(resolve => this.#server.listen(Number(port), ip, resolve));
        Object.assign(this, { version, bornMs: Date.now(), isDown: false });
        await this.onBack();
    }

    /** Called when it is back after a crash. */
    onBack = () => Promise.resolve();

    stop() {
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }

    #accept(socket) {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("close", () => this.#sockets.delete(socket));
        socket.on("error", () => undefined);
        socket.setMaxListeners(0);
        const channel = {
            socket,
            isOpen: () => !socket.destroyed,
            send: text => socket.destroyed || socket.write(Buffer.from(text, "latin1")),
            close: () => socket.end(),
        };
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            for (let parsed = parse(received); parsed !== undefined; parsed = parse(received)) {
                received = received.slice(parsed.length);
                this.#serve(parsed.request, channel);
            }
        });
    }

    #serve(request, channel) {
        const { headers } = request;
        const id = headers["x-filbertrelay-attempt-id"] ?? "";
        const target = headers["x-filbertrelay-target-instance"];
        if (target !== undefined && target !== this.#id) {
            channel.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        this.arrivals.push({ atMs: Date.now(), id, target: request.target });
        this.runs.push(id);
        if (this.fault(request, channel)) {
            return;
        }
        if (request.target.startsWith("/stream/")) {
            void stream(request, channel, { version: this.version, ...this.streamOptions });
        }
        else {
            setTimeout(() => channel.send(renderAnswer(request)), workMs);
        }
    }
}

/** The body with which an engine answers a plain request. */
export function expectedBody(id) {
    return `body of ${id} `.padEnd(800, ".");
}

/** Headers of every answer of an engine. */
export function answerHeaders({ headers }) {
    const id = headers["x-filbertrelay-attempt-id"] ?? "";
    return `X-Filbertrelay-Attempt-Id: ${id}\r\nX-Filbertrelay-Response-Signature: signed.${id}\r\n`;
}

export function renderAnswer(request, extra = "") {
    const body = expectedBody(request.headers["x-filbertrelay-attempt-id"]);
    return `HTTP/1.1 200 OK\r\n${answerHeaders(request)}${extra}Content-Length: ${body.length}\r\n\r\n${body}`;
}

function renderStreamHead(request, extra = "") {
    return `HTTP/1.1 200 OK\r\n${answerHeaders(request)}${extra}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
}

function renderEvent(number, version) {
    const event = `id: ${number}\ndata: piece ${number} of ${version}\n\n`;
    return `${event.length.toString(16)}\r\n${event}\r\n`;
}

/** Sends a whole stream, or the rest of one, with further headers in its head. */
export async function stream(request, channel, { extra = "", version = "v1", events = streamEvents, pauseMs = eventMs, startMs = 0 } = {}) {
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    await new Promise(resolve => setTimeout(resolve, startMs));
    channel.send(renderStreamHead(request, extra));
    for (let number = first; number <= events && channel.isOpen(); number += 1) {
        await new Promise(resolve => setTimeout(resolve, pauseMs));
        channel.send(renderEvent(number, version));
    }
    channel.send("0\r\n\r\n");
}

function parse(received) {
    const end = received.indexOf("\r\n\r\n");
    if (end === -1) {
        return undefined;
    }
    const [first, ...lines] = received.slice(0, end).split("\r\n").filter(line => line !== "");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const length = end + 4 + Number(headers["content-length"] ?? 0);
    const [method, target] = (first ?? "").split(" ");
    return received.length < length ?
        undefined :
        { request: { method, target, headers, body: received.slice(end + 4, length) }, length };
}
