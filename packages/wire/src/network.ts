import type { HostId, Issue, Outcome } from "@filbertrelay/kernel";
import type * as z from "zod";

/** Why a call to a peer failed; `sent` is false only if no byte of the call left this process. */
export interface PeerIssue extends Issue {
    readonly code: "peer.unreachable" | "peer.timeout" | "peer.closed" | "peer.refused" | "peer.invalid";
    readonly sent: boolean;
}

/** A type of call between peers: its name and the schemas of request and reply. */
export interface Topic<Request extends z.ZodType, Reply extends z.ZodType> {
    readonly name: string;
    readonly request: Request;
    readonly reply: Reply;
    /** Bytes of a streamed reply that are sent ahead of what its receiver has taken; without it only the socket bounds them. */
    readonly windowBytes?: number;
}

/** Declares a topic; bodies are validated on receipt. */
export function declareTopic<Request extends z.ZodType, Reply extends z.ZodType>(
    name: string,
    schemas: { readonly request: Request; readonly reply: Reply; },
    options: { readonly windowBytes?: number; } = {},
): Topic<Request, Reply> {
    return { name, ...schemas, ...options };
}

/** The context of a request in its handler. */
export interface PeerContext {
    /** The host id of the calling peer, authenticated in the handshake. */
    readonly from: HostId;
    /** Aborted when the caller cancels the call or its connection closes. */
    readonly signal: AbortSignal;
}

/** Options of one call. */
export interface CallOptions {
    /** The timeout for the reply, or for each chunk of a stream, in milliseconds. */
    readonly timeoutMs: number;
    /** The timeout for sending the request, in milliseconds; a call that exceeds it is never sent. */
    readonly sendTimeoutMs?: number;
    readonly signal?: AbortSignal;
    /** Whether the caller repeats the call if it is lost; an idle connection is then not verified first. */
    readonly isRepeatable?: boolean;
}

/** Calls between entry hosts; registered in the kernel as `peers`. */
export interface PeerNetwork {
    /** Sends a request and waits for the reply. */
    call<Request extends z.ZodType, Reply extends z.ZodType>(
        peer: HostId,
        topic: Topic<Request, Reply>,
        body: z.input<Request>,
        options: CallOptions,
    ): Promise<Outcome<z.output<Reply>, PeerIssue>>;
    /** Sends a request and yields the reply chunks, each of the reply schema, until the stream ends; a failure is the last item. */
    stream<Request extends z.ZodType, Reply extends z.ZodType>(
        peer: HostId,
        topic: Topic<Request, Reply>,
        body: z.input<Request>,
        options: CallOptions,
    ): AsyncIterable<Outcome<z.output<Reply>, PeerIssue>>;
    /** Registers the request handler of a topic. */
    handle<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => Promise<z.input<Reply>>,
    ): void;
    /** Registers a request handler that streams its reply in chunks. */
    handleStream<Request extends z.ZodType, Reply extends z.ZodType>(
        topic: Topic<Request, Reply>,
        handler: (body: z.output<Request>, context: PeerContext) => AsyncIterable<z.input<Reply>>,
    ): void;
    /** Sets the address (IP address and port) on which a peer listens. */
    setAddress(peer: HostId, address: string): void;
}
