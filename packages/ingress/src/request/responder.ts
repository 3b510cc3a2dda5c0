import type { HeaderList } from "../contract.js";

/** A fully received request of a caller. */
export interface CallerRequest {
    readonly method: string;
    /** Path and query, unmodified. */
    readonly target: string;
    readonly hostname: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Monotonic time at which the request head was received. */
    readonly arrivedMs: number;
}

/** Writes the response to one request. */
export interface CallerResponder {
    /** Calls back once if the caller closes its connection before the response is complete. */
    onDisconnect(callback: () => void): void;
    /** Sends a complete response. */
    answer(status: number, headers: HeaderList, body: Buffer): void;
    /** Sends the head of a response whose body follows; returns false, with nothing sent, when HTTP does not allow the head. */
    sendHead(status: number, headers: HeaderList): boolean;
    /** Sends a part of the body; returns false when the write buffer is full until `onDrain` calls back. */
    write(bytes: Buffer): boolean;
    onDrain(callback: () => void): void;
    /** Completes a response started with `sendHead`. */
    end(): void;
    /** Closes the connection, so that the response is visibly incomplete. */
    abort(): void;
}
