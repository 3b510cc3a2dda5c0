import type { Clock, HostId } from "@filbertrelay/kernel";
import type { Frame } from "./frame.js";
import type { FrameSocket } from "./framesocket.js";
import type { HandlerTable } from "./handler.js";
import type { PeerIssue } from "./network.js";
import type { Traffic } from "./traffic.js";

const heartbeatTopic = "connection.heartbeat";
const heartbeatReplyTopic = "connection.heartbeatReply";
const cancelTopic = "connection.cancel";
const goodbyeTopic = "connection.goodbye";

/** Receives what a peer answers to one call. */
export interface CallSink {
    readonly topic: string;
    /** One reply, or one chunk of a streamed reply. */
    onBody(body: unknown): void;
    /** The reply is complete; `issue` is present when it failed. */
    onEnd(issue?: PeerIssue): void;
}

/** How long a connection may be silent while calls wait on it. */
export interface ConnectionTiming {
    /** A heartbeat is sent after this much silence while calls are in progress. */
    readonly heartbeatMs: number;
    /** A heartbeat is sent after this much silence while no call is in progress. */
    readonly idleHeartbeatMs: number;
    /** A connection that received nothing for this long is checked with a heartbeat before the next call. */
    readonly freshMs: number;
    /** New calls prefer a new connection when a heartbeat or call has waited this long without any byte received. */
    readonly doubtMs: number;
    /** The connection is closed when a heartbeat or call has waited this long without any byte received. */
    readonly silenceMs: number;
}

/** What a connection needs from its network. */
export interface ConnectionOptions {
    readonly peer: HostId;
    readonly clock: Clock;
    readonly traffic: Traffic;
    readonly handlers: HandlerTable;
    readonly timing: ConnectionTiming;
}

/** An authenticated connection; both sides can send calls on it. */
export class PeerConnection {
    readonly peer: HostId;
    readonly #frames: FrameSocket;
    readonly #options: ConnectionOptions;
    readonly #calls = new Map<number, CallSink>();
    readonly #receiveCallbacks: ((isReceived: boolean) => void)[] = [];
    readonly #served = new Map<number, AbortController>();
    #nextId = 1;
    #isDraining = false;
    #hasPeerDrained = false;
    #lastReceivedMs: number;
    #waitingSinceMs: number | undefined;
    #lastHeartbeatMs: number;

    constructor(frames: FrameSocket, options: ConnectionOptions) {
        this.peer = options.peer;
        this.#frames = frames;
        this.#options = options;
        this.#lastReceivedMs = options.clock.monotonicMs();
        this.#lastHeartbeatMs = this.#lastReceivedMs;
        frames.onClose(reason => this.#fail(reason));
        frames.receive((frame, bytes) => this.#receive(frame, bytes));
    }

    /** Whether new calls may be sent on this connection. */
    get isUsable(): boolean {
        return this.#frames.isOpen && !this.#isDraining;
    }

    /** Whether no call is in progress and neither side will send another one. */
    get isDrained(): boolean {
        return !this.#isBusy && this.#isDraining && this.#hasPeerDrained;
    }

    get #isBusy(): boolean {
        return this.#calls.size > 0 || this.#served.size > 0;
    }

    /** Whether the peer has been silent for so long that a new connection should be tried. */
    isDoubtful(): boolean {
        return this.#silenceMs() > this.#options.timing.doubtMs;
    }

    /** Sends a request; gives its id, or the reason why no byte was sent. */
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
        this.#calls.set(id, sink);
        this.#waitingSinceMs ??= this.#options.clock.monotonicMs();
        return id;
    }

    /** Checks a connection that has been quiet for long, so that a call is not sent into a black hole; false when the peer is silent. */
    async verify(): Promise<boolean> {
        const { clock, timing } = this.#options;
        if (clock.monotonicMs() - this.#lastReceivedMs < timing.freshMs) {
            return true;
        }
        if (this.#waitingSinceMs === undefined) {
            this.#sendHeartbeat();
        }
        return new Promise(resolve => {
            const cancel = clock.after(timing.doubtMs / 2, () => resolve(false));
            this.#receiveCallbacks.push(isReceived => {
                cancel();
                resolve(isReceived);
            });
        });
    }

    /** Stops waiting for a call and tells the peer. */
    cancel(id: number): void {
        if (this.#calls.delete(id) && this.#frames.isOpen) {
            this.#send({ kind: "event", topic: cancelTopic, id, body: undefined }, cancelTopic);
        }
    }

    /** Restarts the wait for the peer, because this process was paused and may not have read what the peer sent. */
    forgive(): void {
        this.#waitingSinceMs = undefined;
    }

    /** Sends heartbeats that are due and closes the connection when the peer has been silent for too long. */
    sweep(): void {
        const nowMs = this.#options.clock.monotonicMs();
        const { heartbeatMs, idleHeartbeatMs, silenceMs } = this.#options.timing;
        if (this.#silenceMs() > silenceMs) {
            this.close(`The peer sent nothing for ${Math.round(this.#silenceMs())} ms.`);
            return;
        }
        const intervalMs = this.#isBusy || this.#waitingSinceMs !== undefined ? heartbeatMs : idleHeartbeatMs;
        if (nowMs - Math.max(this.#lastReceivedMs, this.#lastHeartbeatMs) >= intervalMs) {
            this.#sendHeartbeat();
        }
    }

    /** Asks the peer to send no further calls on this connection and sends none itself. */
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

    /** Calls back once when the connection closes. */
    onClose(callback: (reason: string) => void): void {
        this.#frames.onClose(callback);
    }

    #sendHeartbeat(): void {
        const nowMs = this.#options.clock.monotonicMs();
        this.#lastHeartbeatMs = nowMs;
        this.#waitingSinceMs ??= nowMs;
        this.#send({ kind: "event", topic: heartbeatTopic, id: 0, body: undefined }, heartbeatTopic);
    }

    #silenceMs(): number {
        return this.#waitingSinceMs === undefined ? 0 : this.#options.clock.monotonicMs() - this.#waitingSinceMs;
    }

    #send(frame: Frame, topic: string): string | undefined {
        const sent = this.#frames.send(frame);
        if (!sent.ok) {
            return sent.issue.message;
        }
        this.#options.traffic.sent(topic, sent.value);
        return undefined;
    }

    #receive(frame: Frame, bytes: number): void {
        this.#lastReceivedMs = this.#options.clock.monotonicMs();
        this.#waitingSinceMs = undefined;
        this.#receiveCallbacks.splice(0).forEach(callback => callback(true));
        const topic = frame.kind === "request" || frame.kind === "event" ? frame.topic : this.#calls.get(frame.id)?.topic;
        this.#options.traffic.received(this.#countedTopic(topic), bytes);
        switch (frame.kind) {
            case "request":
                this.#serve(frame);
                break;
            case "event":
                this.#receiveEvent(frame);
                break;
            default:
                this.#receiveAnswer(frame);
        }
    }

    // Topics come from the peer; unknown ones share one counter so that the table stays bounded.
    #countedTopic(topic: string | undefined): string {
        const isKnown = topic !== undefined && (topic.startsWith("connection.") || this.#options.handlers.has(topic));
        return isKnown ? topic : "unknown";
    }

    #receiveEvent(frame: Frame): void {
        if (frame.topic === heartbeatTopic) {
            this.#send({ kind: "event", topic: heartbeatReplyTopic, id: 0, body: undefined }, heartbeatReplyTopic);
        }
        else if (frame.topic === cancelTopic) {
            this.#served.get(frame.id)?.abort(new Error("The caller cancelled the call."));
        }
        else if (frame.topic === goodbyeTopic) {
            this.#hasPeerDrained = true;
            this.drain();
        }
    }

    #receiveAnswer(frame: Frame): void {
        const sink = this.#calls.get(frame.id);
        if (sink === undefined) {
            return;
        }
        if (frame.kind !== "chunk") {
            this.#calls.delete(frame.id);
        }
        if (frame.issue !== undefined) {
            sink.onEnd({ code: `peer.${frame.issue.code}`, message: frame.issue.message, sent: true });
            return;
        }
        if (frame.kind !== "end") {
            sink.onBody(frame.body);
        }
        if (frame.kind !== "chunk") {
            sink.onEnd();
        }
    }

    #serve(frame: Frame): void {
        if (this.#served.has(frame.id)) {
            this.close(`The peer used the call id ${frame.id} twice.`);
            return;
        }
        const abort = new AbortController();
        this.#served.set(frame.id, abort);
        this.#lastHeartbeatMs = this.#options.clock.monotonicMs();
        const answer = {
            send: (kind: "reply" | "chunk" | "end", body: unknown) => this.#answer(frame, kind, body),
            drained: () => this.#frames.drained(),
        };
        void this.#options.handlers.run(frame.topic, frame.body, { from: this.peer, signal: abort.signal }, answer)
            .then(issue => this.#finish(frame, issue));
    }

    #answer(request: Frame, kind: "reply" | "chunk" | "end", body: unknown): string | undefined {
        if (!this.#frames.isOpen) {
            return "The connection closed.";
        }
        return this.#send({ kind, topic: "", id: request.id, body }, request.topic);
    }

    #finish(request: Frame, issue: Frame["issue"]): void {
        this.#served.delete(request.id);
        if (issue !== undefined && this.#frames.isOpen) {
            const message = issue.message.slice(0, 1_000);
            this.#send({ kind: "end", topic: "", id: request.id, body: undefined, issue: { ...issue, message } }, request.topic);
        }
    }

    #fail(reason: string): void {
        this.#receiveCallbacks.splice(0).forEach(callback => callback(false));
        const sinks = [...this.#calls.values()];
        this.#calls.clear();
        sinks.forEach(sink => sink.onEnd({ code: "peer.closed", message: reason, sent: true }));
        this.#served.forEach(abort => abort.abort(new Error(reason)));
    }
}
