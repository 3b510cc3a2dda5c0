import type { EndpointRecord } from "../contract.js";

/** Binds a stream to the software version of the endpoint that began it. What two versions write does not fit together. */
export class StreamContinuation {
    #version: string | undefined;

    /** Whether the stream may go on, or begin, at an endpoint. */
    accepts({ softwareVersion }: EndpointRecord): boolean {
        return this.#version === undefined || this.#version === softwareVersion;
    }

    /** Records that the caller gets an event that an endpoint has written. */
    recordEvent({ softwareVersion }: EndpointRecord): void {
        this.#version ??= softwareVersion;
    }
}
