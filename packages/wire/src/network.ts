import type { HostId, Issue, Outcome } from "@filbertrelay/kernel";
import type { z } from "zod";

/** Why a call to a peer failed; `sent` is false only when no byte of the call left this process. */
export interface PeerIssue extends Issue {
    readonly code: "peer.unreachable" | "peer.timeout" | "peer.closed" | "peer.refused" | "peer.invalid";
    readonly sent: boolean;
}

/** A message type between peers: its name and the schemas of request and reply. */
export interface Topic<Request extends z.ZodType, Reply extends z.ZodType> {
    readonly name: string;
    readonly request: Request;
    readonly reply: Reply;
}

/** Declares a topic whose bodies are checked on receipt. */
export function declareTopic<Request extends z.ZodType, Reply extends z.ZodType>(
    name: string,
    schemas: { readonly request: Request; readonly reply: Reply; },
): Topic<Request, Reply> {
    return { name, ...schemas };
}

/** The host id that the calling peer proved in the handshake. */
export interface PeerContext {
    readonly from: HostId;
    /** Aborted when the caller cancels or its connection closes. */
    readonly signal: AbortSignal;
}

/** The limits of one call. */
export interface CallOptions {
    /** The longest wait for the reply, or for the next chunk of a stream, in milliseconds. */
    readonly timeoutMs: number;
    readonly signal?: AbortSignal;
    /** The caller repeats the call when it gets lost, so a quiet connection need not be checked before. */
    readonly isRepeatable?: boolean;
}

/** Messages between entry hosts; registered in the kernel as `peers`. */
export interface PeerNetwork {
    /** Sends a request and waits for the reply. */
    call<Request extends z.ZodType, Reply extends z.ZodType>(
        peer: HostId,
        topic: Topic<Request, Reply>,
        body: z.input<Request>,
        options: CallOptions,
    ): Promise<Outcome<z.output<Reply>, PeerIssue>>;
    /** Sends a request and yields the reply chunks (each of the reply schema) until the peer ends; a failure is the last item. */
    stream<Request extends z.ZodType, Reply extends z.ZodType>(
        peer: HostId,
        topic: Topic<Request, Reply>,
        body: z.input<Request>,
        options: CallOptions,
    ): AsyncIterable<Outcome<z.output<Reply>, PeerIssue>>;
    /** Answers requests of a topic. */
    handle<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => Promise<z.input<Reply>>,
    ): void;
    /** Answers requests of a topic with a stream of chunks. */
    handleStream<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => AsyncIterable<z.input<Reply>>,
    ): void;
    /** Tells the network where a peer listens (IP address and port). */
    setAddress(peer: HostId, address: string): void;
}
