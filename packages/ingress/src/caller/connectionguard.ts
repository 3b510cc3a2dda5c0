import { ConnectionTable } from "@filbertrelay/policy/ingress";
import { IncomingMessage } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Why a connection was closed. */
export type ConnectionLimit = "connections" | "requestsAhead";

export interface ConnectionGuardOptions {
    readonly server: Server;
    /** Most connections at once. */
    readonly connections: number;
    /** Most requests of a connection that are read before the first one is answered. */
    readonly requestsAhead: number;
    /** Closes a connection with a request in progress; by default the one whose request has lasted the longest. */
    readonly endBusy?: () => boolean;
    readonly onLimit: (limit: ConnectionLimit) => void;
}

/** The place of a request among those of its connection. */
export interface Turn {
    /** Calls back as soon as all earlier requests of the connection are answered; not at all if it closes first. */
    whenFirst(callback: () => void): void;
}

const guarded = new WeakMap<Socket, GuardedConnection>();

/**
 * A request that stops the parser if its connection has too many unanswered ones. Node.js parses all that it has read at once; only an
 * upgrade makes it hand over the rest.
 */
export class GuardedRequest extends IncomingMessage {
    get upgrade(): boolean {
        return this.method === "CONNECT" || guarded.get(this.socket)?.isFull === true;
    }

    set upgrade(_value: boolean) {
        // Upgrades of callers are not supported: their requests are handled as any other.
    }

    /** Node.js calls this to read on, also after the connection was paused. */
    override _read(size: number): void {
        if (guarded.get(this.socket)?.isPaused !== true) {
            super._read(size);
        }
    }

    /** Stops reading from the connection at once; what was read before is still delivered. */
    pauseConnection(): void {
        guarded.get(this.socket)?.pause();
    }

    resumeConnection(): void {
        guarded.get(this.socket)?.resume();
    }
}

/** Limits the connections of a server and the requests on each. The server must be created with `GuardedRequest`. */
export class ConnectionGuard {
    readonly #options: ConnectionGuardOptions;
    readonly #table: ConnectionTable<GuardedConnection>;

    constructor(options: ConnectionGuardOptions) {
        this.#options = options;
        this.#table = new ConnectionTable(options.connections);
        options.server.on("connection", socket => this.#add(socket));
        options.server.on("upgrade", (request: IncomingMessage) => {
            const connection = guarded.get(request.socket);
            if (connection === undefined || !connection.isFull) {
                request.socket.destroy();
                return;
            }
            options.onLimit("requestsAhead");
            connection.stopReading();
        });
    }

    /** Registers a request; `onEnded` is called once when its response is complete or its connection is closed. */
    begin(request: IncomingMessage, response: ServerResponse, onEnded: () => void): Turn {
        const connection = guarded.get(request.socket);
        if (connection === undefined) {
            throw new Error("The connection of a request is not known.");
        }
        this.#table.begin(connection);
        return connection.begin(response, onEnded);
    }

    #add(socket: Socket): void {
        const connection = new GuardedConnection(socket, this.#options.requestsAhead, () => this.#table.end(connection));
        guarded.set(socket, connection);
        this.#table.add(connection);
        socket.once("close", () => {
            this.#table.remove(connection);
            connection.endAll();
        });
        if (this.#table.isOverLimit) {
            this.#makeRoom(connection);
        }
    }

    #makeRoom(newest: GuardedConnection): void {
        const { endBusy, onLimit } = this.#options;
        const idle = this.#table.longestIdle;
        onLimit("connections");
        if (idle !== undefined && idle !== newest) {
            this.#close(idle);
        }
        else if (endBusy === undefined) {
            this.#close(this.#table.longestBusy ?? newest);
        }
        else if (!endBusy()) {
            this.#close(newest);
        }
    }

    #close(connection: GuardedConnection): void {
        // It counts until it is closed, which takes another turn of the event loop.
        this.#table.remove(connection);
        connection.socket.destroy();
    }
}

class GuardedConnection {
    readonly socket: Socket;
    readonly #limit: number;
    readonly #onIdle: () => void;
    readonly #turns: RequestTurn[] = [];
    #isPaused = false;
    #isStopped = false;

    constructor(socket: Socket, limit: number, onIdle: () => void) {
        this.socket = socket;
        this.#limit = limit;
        this.#onIdle = onIdle;
    }

    /** Whether no further request may be read before another one is answered. */
    get isFull(): boolean {
        return this.#turns.length >= this.#limit;
    }

    /** Whether nothing may be read from the connection. */
    get isPaused(): boolean {
        return this.#isPaused;
    }

    pause(): void {
        this.#isPaused = true;
        this.socket.pause();
    }

    resume(): void {
        if (!this.#isStopped) {
            this.#isPaused = false;
            this.socket.resume();
        }
    }

    begin(response: ServerResponse, onEnded: () => void): Turn {
        const turn = new RequestTurn(response, onEnded);
        this.#turns.push(turn);
        if (this.#turns.length === 1) {
            turn.start();
        }
        response.once("close", () => this.#end(turn));
        return turn;
    }

    /** Reads nothing more and closes the connection after the answers that are due. */
    stopReading(): void {
        this.#isStopped = true;
        this.pause();
        this.socket.on("error", () => undefined);
        // Node.js has handed the connection over and no longer tells its responses that they may go on.
        this.socket.on("drain", () => this.#turns[0]?.response.emit("drain"));
    }

    endAll(): void {
        this.#turns.splice(0).forEach(turn => turn.end());
    }

    #end(turn: RequestTurn): void {
        const index = this.#turns.indexOf(turn);
        if (index === -1) {
            return;
        }
        this.#turns.splice(index, 1);
        turn.end();
        if (this.#turns.length > 0) {
            this.#turns[0]?.start();
        }
        else {
            this.#onIdle();
            if (this.#isStopped) {
                this.socket.destroySoon();
            }
        }
    }
}

class RequestTurn implements Turn {
    readonly response: ServerResponse;
    readonly #onEnded: () => void;
    #isFirst = false;
    #callback: (() => void) | undefined;

    constructor(response: ServerResponse, onEnded: () => void) {
        this.response = response;
        this.#onEnded = onEnded;
    }

    whenFirst(callback: () => void): void {
        if (this.#isFirst) {
            callback();
        }
        else {
            this.#callback = callback;
        }
    }

    start(): void {
        this.#isFirst = true;
        this.#callback?.();
    }

    end(): void {
        this.#callback = undefined;
        this.#onEnded();
    }
}
