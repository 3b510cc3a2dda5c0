import type { Clock } from "@filbertrelay/kernel";
import { ConnectionTable } from "@filbertrelay/policy/ingress";
import { IncomingMessage } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { LingeringClose } from "./lingeringclose.js";

/** Why a connection was closed. */
export type ConnectionLimit = "connections" | "requestsAhead";

export interface ConnectionGuardOptions {
    readonly clock: Clock;
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
    /** Whether no later request of the connection has been read. */
    readonly isLast: boolean;
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

    /** Reads nothing from the other connections of the server until the next turn of the event loop. */
    holdOtherConnections(): void {
        guarded.get(this.socket)?.holdOthers();
    }
}

/** Limits the connections of a server and the requests on each. The server must be created with `GuardedRequest`. */
export class ConnectionGuard {
    readonly #options: ConnectionGuardOptions;
    readonly #table: ConnectionTable<GuardedConnection>;
    readonly #connections = new Set<GuardedConnection>();
    #isHolding = false;
    #isClosing = false;

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

    /** Open connections, with those that only wait for their caller to close. */
    get size(): number {
        return this.#connections.size;
    }

    /** Closes all connections, those with a request after its answer. */
    closeAll(): void {
        this.#isClosing = true;
        this.#connections.forEach(connection => connection.closeWhenIdle());
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
        const connection = new GuardedConnection(socket, {
            clock: this.#options.clock,
            limit: this.#options.requestsAhead,
            onIdle: () => this.#table.end(connection),
            onHold: () => this.#hold(connection),
        });
        guarded.set(socket, connection);
        this.#connections.add(connection);
        this.#table.add(connection);
        socket.once("close", () => {
            this.#connections.delete(connection);
            this.#table.remove(connection);
            connection.endAll();
        });
        if (this.#isClosing) {
            connection.closeWhenIdle();
        }
        else if (this.#table.isOverLimit) {
            this.#makeRoom(connection);
        }
    }

    /** Input of many connections is ready in the same turn, and each read of it runs to its end. */
    #hold(reader: GuardedConnection): void {
        if (this.#isHolding) {
            return;
        }
        this.#isHolding = true;
        const held = [...this.#connections].filter(connection => connection !== reader && !connection.isPaused);
        held.forEach(connection => connection.stopHandle());
        setImmediate(() => {
            this.#isHolding = false;
            held.filter(connection => !connection.isPaused).forEach(connection => connection.startHandle());
        });
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

interface GuardedConnectionOptions {
    readonly clock: Clock;
    readonly limit: number;
    readonly onIdle: () => void;
    readonly onHold: () => void;
}

/** The part of a socket that reads. Pausing a socket itself acts after one more read. */
interface ReadingHandle {
    reading: boolean;
    readStart(): number;
    readStop(): number;
}

class GuardedConnection {
    readonly socket: Socket;
    readonly #options: GuardedConnectionOptions;
    readonly #turns: RequestTurn[] = [];
    #isPaused = false;
    #isStopped = false;
    #isClosing = false;
    #isLingering = false;

    constructor(socket: Socket, options: GuardedConnectionOptions) {
        this.socket = socket;
        this.#options = options;
        // Node.js calls this after the last answer of a connection; by itself it would close the caller's side as well.
        socket.destroySoon = () => this.#close();
    }

    /** Whether no further request may be read before another one is answered. */
    get isFull(): boolean {
        return this.#turns.length >= this.#options.limit;
    }

    /** Whether nothing may be read from the connection. */
    get isPaused(): boolean {
        return this.#isPaused;
    }

    pause(): void {
        this.#isPaused = true;
        this.socket.pause();
        this.stopHandle();
    }

    resume(): void {
        if (!this.#isStopped) {
            this.#isPaused = false;
            this.socket.resume();
            this.startHandle();
        }
    }

    holdOthers(): void {
        this.#options.onHold();
    }

    stopHandle(): void {
        const handle = findHandle(this.socket);
        if (handle?.reading === true) {
            handle.reading = false;
            handle.readStop();
        }
    }

    startHandle(): void {
        const handle = findHandle(this.socket);
        if (handle?.reading === false && !this.socket.destroyed) {
            handle.reading = true;
            handle.readStart();
        }
    }

    begin(response: ServerResponse, onEnded: () => void): Turn {
        const turn: RequestTurn = new RequestTurn(response, { onEnded, isLast: (): boolean => this.#turns.at(-1) === turn });
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

    /** Closes the connection, after the answers that are due if there are any. */
    closeWhenIdle(): void {
        this.#isClosing = true;
        if (this.#turns.length === 0) {
            this.#close();
        }
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
            this.#options.onIdle();
            if (this.#isStopped || this.#isClosing) {
                this.#close();
            }
        }
    }

    #close(): void {
        if (!this.#isLingering) {
            this.#isLingering = true;
            // Requests behind the last answer can't be answered any more, so they are not passed on either.
            this.endAll();
            this.#options.onIdle();
            LingeringClose.begin(this.socket, this.#options.clock);
            this.#isPaused = false;
            this.startHandle();
        }
    }
}

interface RequestTurnOptions {
    readonly onEnded: () => void;
    readonly isLast: () => boolean;
}

class RequestTurn implements Turn {
    readonly response: ServerResponse;
    readonly #options: RequestTurnOptions;
    #isFirst = false;
    #callback: (() => void) | undefined;

    constructor(response: ServerResponse, options: RequestTurnOptions) {
        this.response = response;
        this.#options = options;
    }

    get isLast(): boolean {
        return this.#options.isLast();
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
        this.#options.onEnded();
    }
}

function findHandle(socket: Socket): ReadingHandle | undefined {
    return (socket as unknown as { readonly _handle: ReadingHandle | null; })._handle ?? undefined;
}
