import type { HeaderList } from "../contract.js";

/** A request as a caller's connection delivers it. */
export interface CallerRequest {
    readonly method: string;
    /** Path and query as they were sent. */
    readonly target: string;
    readonly hostname: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Monotonic time at which the head had arrived. */
    readonly arrivedMs: number;
}

/** The way back to the caller of one request. */
export interface CallerResponder {
    /** Calls back once when the caller has closed its connection before the answer was complete. */
    onGone(callback: () => void): void;
    /** Sends a whole answer. */
    answer(status: number, headers: HeaderList, body: Buffer): void;
    /** Sends the head of an answer whose body follows. */
    begin(status: number, headers: HeaderList): void;
    /** Sends a part of the body; false when the caller reads too slowly and `onDrained` will tell when to go on. */
    write(bytes: Buffer): boolean;
    onDrained(callback: () => void): void;
    /** Ends an answer that was begun. */
    end(): void;
    /** Breaks an answer off so that it does not look complete. */
    cut(): void;
}
