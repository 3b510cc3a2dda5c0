import type { Clock, EventLog, HostId, Outcome, Service } from "@filbertrelay/kernel";
import { declareEvents, failure, listenOn, splitAddress, success } from "@filbertrelay/kernel";
import { createServer, Socket } from "node:net";
import type { AddressInfo, Server } from "node:net";
import * as z from "zod";
import { Call } from "./call.js";
import { PeerConnection } from "./connection.js";
import type { ConnectionTiming } from "./connection.js";
import { FrameSocket } from "./framesocket.js";
import { HandlerTable } from "./handler.js";
import { authenticateClient, authenticateServer, handshakeFrameBytes } from "./handshake.js";
import type { CallOptions, PeerContext, PeerIssue, PeerNetwork, Topic } from "./network.js";
import { validateShape } from "./shape.js";
import { Traffic } from "./traffic.js";
import type { TopicTraffic } from "./traffic.js";

const events = declareEvents({
    handshakeFailed: {
        number: 2001,
        level: "warn",
        text: "The handshake of an incoming peer connection failed.",
        action: "If it recurs, check the cluster keys and addresses of both hosts.",
    },
    connectionClosed: {
        number: 2002,
        level: "debug",
        text: "A peer connection closed.",
        action: "None; the next call opens a new connection.",
    },
});

// Limits unauthenticated sockets, so that a flood of them can't exhaust file descriptors.
const maxPendingHandshakes = 256;
const handshakeTopic = "connection.handshake";

/** Options of `createPeerNetwork`; times in milliseconds. */
export interface PeerNetworkOptions extends Partial<ConnectionTiming> {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly hostId: HostId;
    /** IPv4 address and port; port 0 selects a free port, see `address`. */
    readonly listenAddress: string;
    /** Accepted cluster keys; the first one is used for outgoing connections. */
    readonly keys: readonly string[];
    /** The maximum frame body accepted and sent, in bytes. */
    readonly frameBytes: number;
    /** The timeout for connecting and authenticating. */
    readonly handshakeTimeoutMs?: number;
}

/** A connection that is being opened. */
interface Dial {
    readonly connection: Promise<Outcome<PeerConnection, PeerIssue>>;
    /** Gives up a handshake that has not ended. */
    readonly cancel: () => void;
}

interface Peer {
    address: string | undefined;
    current: PeerConnection | undefined;
    dialing: Dial | undefined;
}

/** A peer network over TCP that runs as a kernel service. */
export interface TcpPeerNetwork extends PeerNetwork, Service {
    start(): Promise<void>;
    stop(deadlineMs: number): Promise<void>;
    /** The listening address; available after `start`. */
    readonly address: string;
    /** Connects to an address and returns the authenticated host id of the peer. */
    identify(address: string): Promise<Outcome<HostId, PeerIssue>>;
    /** Removes a dead peer's address; an open connection and its calls are not affected. */
    forget(peer: HostId): void;
    /** Frame and byte counts by topic. */
    traffic(): readonly TopicTraffic[];
}

/** Creates a peer network, to be registered in the kernel as `peers`. */
export function createPeerNetwork(options: PeerNetworkOptions): TcpPeerNetwork {
    return new SocketNetwork(options);
}

class SocketNetwork implements TcpPeerNetwork {
    readonly #options: PeerNetworkOptions;
    readonly #timing: ConnectionTiming;
    readonly #server: Server;
    readonly #traffic = new Traffic();
    readonly #handlers = new HandlerTable();
    readonly #peers = new Map<HostId, Peer>();
    readonly #connections = new Set<PeerConnection>();
    readonly #handshakes = new Set<FrameSocket>();
    #acceptedHandshakes = 0;
    #cancelLivenessTimer: (() => void) | undefined;
    #isStopping = false;

    constructor(options: PeerNetworkOptions) {
        this.#options = options;
        this.#timing = {
            heartbeatMs: options.heartbeatMs ?? 300,
            // Each node is connected to every other one, so the cost of a shorter interval would grow with the fleet.
            idleHeartbeatMs: options.idleHeartbeatMs ?? 600_000,
            verifyAfterMs: options.verifyAfterMs ?? 5_000,
            unresponsiveMs: options.unresponsiveMs ?? 700,
            silenceTimeoutMs: options.silenceTimeoutMs ?? 3_000,
        };
        this.#server = createServer(socket => void this.#accept(socket));
    }

    get address(): string {
        const { address, port } = this.#server.address() as AddressInfo;
        return `${address}:${port}`;
    }

    async start(): Promise<void> {
        await listenOn(this.#server, this.#options.listenAddress, this.#options.clock);
        this.#scheduleLivenessCheck();
    }

    async stop(deadlineMs: number): Promise<void> {
        this.#isStopping = true;
        const closed = new Promise(resolve => this.#server.close(resolve));
        this.#handshakes.forEach(frames => frames.close("The peer network is stopping."));
        this.#connections.forEach(connection => connection.drain());
        while (
            this.#options.clock.monotonicMs() < deadlineMs && [...this.#connections].some(connection => !connection.isDrained)
        ) {
            await this.#options.clock.sleep(20);
        }
        this.#cancelLivenessTimer?.();
        this.#connections.forEach(connection => connection.close("The peer network is stopping."));
        await closed;
    }

    async call<Request extends z.ZodType, Reply extends z.ZodType>(
        peer: HostId,
        topic: Topic<Request, Reply>,
        body: z.input<Request>,
        options: CallOptions,
    ): Promise<Outcome<z.output<Reply>, PeerIssue>> {
        const call = this.#begin(peer, topic, body, options);
        return call instanceof Call ?
            await call.first() ??
                failure({ code: "peer.invalid", message: "The peer ended the call without sending a reply.", sent: true }) :
            failure(call);
    }

    async *stream<Request extends z.ZodType, Reply extends z.ZodType>(
        peer: HostId,
        topic: Topic<Request, Reply>,
        body: z.input<Request>,
        options: CallOptions,
    ): AsyncGenerator<Outcome<z.output<Reply>, PeerIssue>, void, undefined> {
        const call = this.#begin(peer, topic, body, options);
        if (call instanceof Call) {
            yield* call.items();
        }
        else {
            yield failure(call);
        }
    }

    /** Sends a call, unless its body is invalid. */
    #begin<Reply extends z.ZodType>(
        peer: HostId,
        topic: Topic<z.ZodType, Reply>,
        body: unknown,
        options: CallOptions,
    ): Call<Reply> | PeerIssue {
        const checked = validateShape(topic.request, body);
        if (!checked.success) {
            return { code: "peer.invalid", message: z.prettifyError(checked.error), sent: false };
        }
        const call = new Call<Reply>(this.#options.clock, topic, options);
        void call.start(body, () => this.#connect(peer, options.isRepeatable === true));
        return call;
    }

    handle<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => Promise<z.input<Reply>>,
    ): void {
        this.#handlers.add(topic, handler);
    }

    handleStream<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => AsyncIterable<z.input<Reply>>,
    ): void {
        this.#handlers.addStream(topic, handler);
    }

    setAddress(peer: HostId, address: string): void {
        const entry = this.#getOrCreatePeer(peer);
        if (entry.address !== undefined && entry.address !== address) {
            entry.current = undefined;
        }
        entry.address = address;
    }

    async identify(address: string): Promise<Outcome<HostId, PeerIssue>> {
        const dialed = await this.#dial(address, undefined);
        if (!dialed.ok) {
            return dialed;
        }
        const entry = this.#getOrCreatePeer(dialed.value.peer);
        entry.address ??= address;
        return success(dialed.value.peer);
    }

    forget(peer: HostId): void {
        const entry = this.#peers.get(peer);
        if (entry !== undefined) {
            entry.address = undefined;
            this.#removeUnusedPeer(peer, entry);
        }
    }

    traffic(): readonly TopicTraffic[] {
        return this.#traffic.list();
    }

    #getOrCreatePeer(peer: HostId): Peer {
        const known = this.#peers.get(peer);
        if (known !== undefined) {
            return known;
        }
        const entry = { address: undefined, current: undefined, dialing: undefined };
        this.#peers.set(peer, entry);
        return entry;
    }

    async #connect(peer: HostId, isRepeatable: boolean): Promise<Outcome<PeerConnection, PeerIssue>> {
        const entry = this.#peers.get(peer);
        const current = entry?.current;
        if (current !== undefined && current.isUsable && !current.isUnresponsive() && (isRepeatable || await current.verify())) {
            return success(current);
        }
        if (entry?.address === undefined || peer === this.#options.hostId) {
            return failure({ code: "peer.unreachable", message: `No address is known for host '${peer}'.`, sent: false });
        }
        entry.dialing ??= this.#startDial(entry, entry.address, peer);
        return current?.isUsable === true ? this.#chooseFirst(current, entry.dialing, isRepeatable) : entry.dialing.connection;
    }

    #startDial(entry: Peer, address: string, peer: HostId): Dial {
        const controller = new AbortController();
        const connection = this.#dial(address, peer, controller.signal).finally(() => entry.dialing = undefined);
        return { connection, cancel: () => controller.abort() };
    }

    /** A peer that is late with its replies is late with a handshake too: the open connection is used if it is heard from first. */
    async #chooseFirst(
        current: PeerConnection,
        dial: Dial,
        isRepeatable: boolean,
    ): Promise<Outcome<PeerConnection, PeerIssue>> {
        let isHeard = false;
        const heard = current.waitForInput().then(isReceived => {
            isHeard = isReceived;
            return isReceived ? success(current) : dial.connection;
        });
        const first = await Promise.race([heard, dial.connection]);
        if (isHeard) {
            dial.cancel();
        }
        return !first.ok && current.isUsable && (isHeard || isRepeatable) ? success(current) : first;
    }

    async #dial(
        address: string,
        expected: HostId | undefined,
        signal?: AbortSignal,
    ): Promise<Outcome<PeerConnection, PeerIssue>> {
        if (this.#isStopping) {
            return failure({ code: "peer.closed", message: "The peer network is stopping.", sent: false });
        }
        const socket = new Socket();
        const frames = new FrameSocket(socket, handshakeFrameBytes);
        signal?.addEventListener("abort", () => this.#handshakes.has(frames) && frames.close("The open connection is used."));
        try {
            const connection = await this.#authenticate(frames, async () => {
                await connectSocket(socket, frames, address);
                return authenticateClient(frames, this.#options, { expected, count: this.#countHandshake });
            });
            return success(connection);
        }
        catch (error) {
            const message = error instanceof Error ? error.message : String(error);
            return failure({ code: "peer.unreachable", message, sent: false });
        }
    }

    async #accept(socket: Socket): Promise<void> {
        const frames = new FrameSocket(socket, handshakeFrameBytes);
        if (this.#isStopping || this.#acceptedHandshakes >= maxPendingHandshakes) {
            frames.close("The peer network is stopping or has too many handshakes in progress.");
            return;
        }
        this.#acceptedHandshakes += 1;
        try {
            await this.#authenticate(frames, () => authenticateServer(frames, this.#options, this.#countHandshake));
        }
        catch (error) {
            const remoteAddress = socket.remoteAddress ?? "unknown";
            this.#options.log.write(events.handshakeFailed, { remoteAddress, reason: String(error) });
        }
        finally {
            this.#acceptedHandshakes -= 1;
        }
    }

    async #authenticate(frames: FrameSocket, authenticate: () => Promise<HostId>): Promise<PeerConnection> {
        this.#handshakes.add(frames);
        const timeoutMs = this.#options.handshakeTimeoutMs ?? 2_000;
        const cancelTimeout = this.#options.clock.afterInput(timeoutMs, () => {
            frames.close(`The handshake did not complete within ${timeoutMs} ms.`);
        });
        try {
            const peer = await authenticate();
            frames.limitBytes = this.#options.frameBytes;
            return this.#addConnection(frames, peer);
        }
        catch (error) {
            frames.close("The handshake failed.");
            throw error;
        }
        finally {
            cancelTimeout();
            this.#handshakes.delete(frames);
        }
    }

    #addConnection(frames: FrameSocket, peer: HostId): PeerConnection {
        const { clock } = this.#options;
        const connection = new PeerConnection(frames, {
            peer,
            clock,
            traffic: this.#traffic,
            handlers: this.#handlers,
            timing: this.#timing,
        });
        this.#connections.add(connection);
        // The newest connection is preferred: its initiator had a reason not to use an older one.
        this.#getOrCreatePeer(peer).current = connection;
        connection.onClose(reason => this.#removeConnection(connection, reason));
        return connection;
    }

    #removeConnection(connection: PeerConnection, reason: string): void {
        this.#connections.delete(connection);
        const entry = this.#peers.get(connection.peer);
        if (entry?.current === connection) {
            entry.current = [...this.#connections].find(other => other.peer === connection.peer && other.isUsable);
        }
        if (entry !== undefined) {
            this.#removeUnusedPeer(connection.peer, entry);
        }
        this.#options.log.write(events.connectionClosed, { peer: connection.peer, reason });
    }

    #removeUnusedPeer(peer: HostId, entry: Peer): void {
        if (entry.address === undefined && entry.current === undefined) {
            this.#peers.delete(peer);
        }
    }

    #scheduleLivenessCheck(): void {
        const { clock } = this.#options;
        const intervalMs = this.#timing.heartbeatMs / 4;
        const dueMs = clock.monotonicMs() + intervalMs;
        this.#cancelLivenessTimer = clock.afterInput(intervalMs, () => {
            const wasPaused = clock.monotonicMs() - dueMs > this.#timing.heartbeatMs;
            this.#connections.forEach(connection => wasPaused ? connection.resetSilence() : connection.checkLiveness());
            this.#scheduleLivenessCheck();
        });
    }

    readonly #countHandshake = (direction: "sent" | "received", bytes: number): void => {
        this.#traffic[direction](handshakeTopic, bytes);
    };
}

function connectSocket(socket: Socket, frames: FrameSocket, address: string): Promise<void> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
        frames.onClose(reason => reject(new Error(reason)));
        socket.connect(port, host, resolve);
    });
}
