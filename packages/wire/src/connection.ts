import type { Clock, HostId } from "@filbertrelay/kernel";
import type { Frame } from "./frame.js";
import type { FrameSocket } from "./framesocket.js";
import { InboundCall } from "./handler.js";
import type { HandlerTable } from "./handler.js";
import type { PeerIssue } from "./network.js";
import type { Traffic } from "./traffic.js";

const heartbeatTopic = "connection.heartbeat";
const heartbeatReplyTopic = "connection.heartbeatReply";
const cancelTopic = "connection.cancel";
const goodbyeTopic = "connection.goodbye";
const takenTopic = "connection.taken";

/** Receives the reply to one call. */
export interface CallSink {
    readonly topic: string;
    /** One reply, or one chunk of a streamed reply, with the size of its frame. */
    onBody(body: unknown, bytes: number): void;
    /** The reply is complete; `issue` is present when it failed. */
    onEnd(issue?: PeerIssue): void;
}

/** Liveness parameters of a connection. */
export interface ConnectionTiming {
    /** The silence after which a heartbeat is sent while calls are in progress. */
    readonly heartbeatMs: number;
    /** The silence after which a heartbeat is sent while no call is in progress. */
    readonly idleHeartbeatMs: number;
    /** After receiving nothing for this long, the connection is verified with a heartbeat before the next call. */
    readonly verifyAfterMs: number;
    /** New calls prefer a new connection after a heartbeat or call has waited this long without receiving any byte. */
    readonly unresponsiveMs: number;
    /** The connection is closed after a heartbeat or call has waited this long without receiving any byte. */
    readonly silenceTimeoutMs: number;
}

/** Options of a `PeerConnection`. */
export interface ConnectionOptions {
    readonly peer: HostId;
    readonly clock: Clock;
    readonly traffic: Traffic;
    readonly handlers: HandlerTable;
    readonly timing: ConnectionTiming;
}

/** An authenticated connection on which both sides can send calls. */
export class PeerConnection {
    readonly peer: HostId;
    readonly #frames: FrameSocket;
    readonly #options: ConnectionOptions;
    readonly #outboundCalls = new Map<number, CallSink>();
    readonly #receiveCallbacks: ((isReceived: boolean) => void)[] = [];
    readonly #inboundCalls = new Map<number, InboundCall>();
    #nextId = 1;
    #isDraining = false;
    #isPeerDraining = false;
    #lastReceivedMs: number;
    #waitingSinceMs: number | undefined;
    #lastHeartbeatMs: number;

    constructor(frames: FrameSocket, options: ConnectionOptions) {
        this.peer = options.peer;
        this.#frames = frames;
        this.#options = options;
        this.#lastReceivedMs = options.clock.monotonicMs();
        this.#lastHeartbeatMs = this.#lastReceivedMs;
        frames.onClose(reason => this.#handleClose(reason));
        frames.onFrame((frame, bytes) => this.#receive(frame, bytes));
    }

    /** Whether new calls may be sent on this connection. */
    get isUsable(): boolean {
        return this.#frames.isOpen && !this.#isDraining;
    }

    /** Whether no call is in progress and neither side will send further ones. */
    get isDrained(): boolean {
        return !this.#isBusy && this.#isDraining && this.#isPeerDraining;
    }

    get #isBusy(): boolean {
        return this.#outboundCalls.size > 0 || this.#inboundCalls.size > 0;
    }

    /** Whether the peer has been silent for so long that new calls should use a new connection. */
    isUnresponsive(): boolean {
        return this.#waitedMs() > this.#options.timing.unresponsiveMs;
    }

    /** Sends a request; returns its id, or an issue if nothing was sent. */
    request(body: unknown, sink: CallSink): number | PeerIssue {
        if (!this.isUsable) {
            return { code: "peer.closed", message: "The connection closed before the call was sent.", sent: false };
        }
        const id = this.#nextId;
        const sent = this.#send({ kind: "request", topic: sink.topic, id, body }, sink.topic);
        if (sent !== undefined) {
            return { code: "peer.invalid", message: sent, sent: false };
        }
        this.#nextId = id === 0xffff_ffff ? 1 : id + 1;
        this.#outboundCalls.set(id, sink);
        this.#waitingSinceMs ??= this.#options.clock.monotonicMs();
        return id;
    }

    /** Verifies a connection that has been idle, so that a call is not sent into a black hole; resolves to false if the peer is silent. */
    async verify(): Promise<boolean> {
        const { clock, timing } = this.#options;
        if (clock.monotonicMs() - this.#lastReceivedMs < timing.verifyAfterMs) {
            return true;
        }
        if (this.#waitingSinceMs === undefined) {
            this.#sendHeartbeat();
        }
        return new Promise(resolve => {
            const cancel = clock.afterInput(timing.unresponsiveMs / 2, () => resolve(false));
            this.#receiveCallbacks.push(isReceived => {
                cancel();
                resolve(isReceived);
            });
        });
    }

    /** Resolves to true when something arrives from the peer, to false when the connection closes. */
    waitForInput(): Promise<boolean> {
        return new Promise(resolve => this.#receiveCallbacks.push(resolve));
    }

    /** Cancels a call and notifies the peer. */
    cancel(id: number): void {
        if (this.#outboundCalls.delete(id) && this.#frames.isOpen) {
            this.#send({ kind: "event", topic: cancelTopic, id, body: undefined }, cancelTopic);
        }
    }

    /** Tells the peer how many bytes of its streamed reply were taken since the last time. */
    recordTaken(id: number, bytes: number): void {
        if (this.#frames.isOpen) {
            this.#send({ kind: "event", topic: takenTopic, id, body: bytes }, takenTopic);
        }
    }

    /** Resets the silence timeout after a pause of this process, which may have left received bytes unread. */
    resetSilence(): void {
        this.#waitingSinceMs = undefined;
    }

    /** Sends a heartbeat if due, and closes the connection if the peer has been silent for too long. */
    checkLiveness(): void {
        const nowMs = this.#options.clock.monotonicMs();
        const { heartbeatMs, idleHeartbeatMs, silenceTimeoutMs } = this.#options.timing;
        if (this.#waitedMs() > silenceTimeoutMs) {
            this.close(`Nothing received from the peer for ${Math.round(this.#waitedMs())} ms.`);
            return;
        }
        const intervalMs = this.#isBusy || this.#waitingSinceMs !== undefined ? heartbeatMs : idleHeartbeatMs;
        if (nowMs - Math.max(this.#lastReceivedMs, this.#lastHeartbeatMs) >= intervalMs) {
            this.#sendHeartbeat();
        }
    }

    /** Stops sending calls on this connection and asks the peer to do the same. */
    drain(): void {
        if (this.isUsable) {
            this.#isDraining = true;
            this.#waitingSinceMs ??= this.#options.clock.monotonicMs();
            this.#send({ kind: "event", topic: goodbyeTopic, id: 0, body: undefined }, goodbyeTopic);
        }
    }

    /** Closes the connection; calls in progress fail. */
    close(reason: string): void {
        this.#frames.close(reason);
    }

    /** Registers a callback for when the connection closes. */
    onClose(callback: (reason: string) => void): void {
        this.#frames.onClose(callback);
    }

    #sendHeartbeat(): void {
        const nowMs = this.#options.clock.monotonicMs();
        this.#lastHeartbeatMs = nowMs;
        this.#waitingSinceMs ??= nowMs;
        this.#send({ kind: "event", topic: heartbeatTopic, id: 0, body: undefined }, heartbeatTopic);
    }

    #waitedMs(): number {
        return this.#waitingSinceMs === undefined ? 0 : this.#options.clock.monotonicMs() - this.#waitingSinceMs;
    }

    #send(frame: Frame, topic: string, onSent?: (bytes: number) => void): string | undefined {
        const sent = this.#frames.send(frame);
        if (!sent.ok) {
            return sent.issue.message;
        }
        this.#options.traffic.sent(topic, sent.value);
        onSent?.(sent.value);
        return undefined;
    }

    #receive(frame: Frame, bytes: number): void {
        this.#lastReceivedMs = this.#options.clock.monotonicMs();
        this.#waitingSinceMs = undefined;
        this.#receiveCallbacks.splice(0).forEach(callback => callback(true));
        const topic = frame.kind === "request" || frame.kind === "event" ? frame.topic : this.#outboundCalls.get(frame.id)?.topic;
        this.#options.traffic.received(this.#trafficTopic(topic), bytes);
        switch (frame.kind) {
            case "request":
                this.#handleRequest(frame);
                break;
            case "event":
                this.#receiveEvent(frame);
                break;
            default:
                this.#receiveReply(frame, bytes);
        }
    }

    // Topic names come from the peer; unknown ones share one counter so that the table stays bounded.
    #trafficTopic(topic: string | undefined): string {
        const isKnown = topic !== undefined && (topic.startsWith("connection.") || this.#options.handlers.has(topic));
        return isKnown ? topic : "unknown";
    }

    #receiveEvent(frame: Frame): void {
        if (frame.topic === heartbeatTopic) {
            this.#send({ kind: "event", topic: heartbeatReplyTopic, id: 0, body: undefined }, heartbeatReplyTopic);
        }
        else if (frame.topic === cancelTopic) {
            this.#inboundCalls.get(frame.id)?.abort(new Error("The caller cancelled the call."));
        }
        else if (frame.topic === takenTopic && typeof frame.body === "number") {
            this.#inboundCalls.get(frame.id)?.window.recordTaken(frame.body);
        }
        else if (frame.topic === goodbyeTopic) {
            this.#isPeerDraining = true;
            this.drain();
        }
    }

    #receiveReply(frame: Frame, bytes: number): void {
        const sink = this.#outboundCalls.get(frame.id);
        if (sink === undefined) {
            return;
        }
        if (frame.kind !== "chunk") {
            this.#outboundCalls.delete(frame.id);
        }
        if (frame.issue !== undefined) {
            sink.onEnd({ code: `peer.${frame.issue.code}`, message: frame.issue.message, sent: true });
            return;
        }
        if (frame.kind !== "end") {
            sink.onBody(frame.body, bytes);
        }
        if (frame.kind !== "chunk") {
            sink.onEnd();
        }
    }

    #handleRequest(frame: Frame): void {
        if (this.#inboundCalls.has(frame.id)) {
            this.close(`The peer reused the id ${frame.id} of a call in progress.`);
            return;
        }
        const call = new InboundCall(this.peer);
        this.#inboundCalls.set(frame.id, call);
        this.#lastHeartbeatMs = this.#options.clock.monotonicMs();
        const channel = {
            send: (kind: "reply" | "chunk" | "end", body: unknown) => this.#sendReply(frame, call, { kind, body }),
            waitForDrain: () => this.#frames.waitForDrain(),
        };
        void this.#options.handlers.run(frame.topic, frame.body, call, channel)
            .then(issue => this.#finishRequest(frame, issue));
    }

    #sendReply(request: Frame, call: InboundCall, reply: Pick<Frame, "kind" | "body">): string | undefined {
        if (!this.#frames.isOpen) {
            return "The connection closed.";
        }
        return this.#send({ ...reply, topic: "", id: request.id }, request.topic, bytes => call.window.recordSent(bytes));
    }

    #finishRequest(request: Frame, issue: Frame["issue"]): void {
        this.#inboundCalls.delete(request.id);
        if (issue !== undefined && this.#frames.isOpen) {
            const message = issue.message.slice(0, 1_000);
            this.#send({ kind: "end", topic: "", id: request.id, body: undefined, issue: { ...issue, message } }, request.topic);
        }
    }

    #handleClose(reason: string): void {
        this.#receiveCallbacks.splice(0).forEach(callback => callback(false));
        const sinks = [...this.#outboundCalls.values()];
        this.#outboundCalls.clear();
        sinks.forEach(sink => sink.onEnd({ code: "peer.closed", message: reason, sent: true }));
        this.#inboundCalls.forEach(call => call.abort(new Error(reason)));
    }
}
