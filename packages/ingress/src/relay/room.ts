import type { EndpointId } from "@filbertrelay/kernel";
import { AnswerReservation } from "@filbertrelay/policy/ingress";
import type { AnswerMemory, MemoryShares } from "@filbertrelay/policy/ingress";

/** How much a host relays for other hosts at once. */
export interface RelayLimits {
    readonly requests: number;
    /** For the bodies of these requests and what is held of their answers. */
    readonly bytes: number;
}

/** Bytes that are held of one answer at most: what waits to be sent, with the last read of the endpoint. */
const answerBytes = 65_536;
/** Part of the memory for endpoints' answers that is given to other hosts' requests. */
const relayShare = 0.25;
const smallestRequests = 16;

/** Derives the limits from the memory of the host. */
export function createRelayLimits(memory: Pick<MemoryShares, "answerBytes">): RelayLimits {
    const bytes = memory.answerBytes * relayShare;
    return { bytes, requests: Math.max(smallestRequests, Math.floor(bytes / answerBytes)) };
}

/** The room of a host for requests that it relays. */
export class RelayRoom {
    readonly #limits: RelayLimits;
    readonly #memory: AnswerMemory;
    #requests = 0;
    #bytes = 0;

    constructor(limits: RelayLimits, memory: AnswerMemory) {
        this.#limits = limits;
        this.#memory = memory;
    }

    /** Number of requests that are relayed now. */
    get inProgress(): number {
        return this.#requests;
    }

    /** Bytes that are reserved for them. */
    get heldBytes(): number {
        return this.#bytes;
    }

    /** Makes room for a request with a body of some bytes; returns a function that gives it back, or `undefined` without room. */
    enter(endpointId: EndpointId, bodyBytes: number): (() => void) | undefined {
        const bytes = bodyBytes + answerBytes;
        const reservation = new AnswerReservation(this.#memory, endpointId);
        const isFull = this.#requests >= this.#limits.requests || this.#bytes + bytes > this.#limits.bytes;
        if (isFull || reservation.resize(bytes) !== undefined) {
            return undefined;
        }
        this.#requests += 1;
        this.#bytes += bytes;
        return () => {
            this.#requests -= 1;
            this.#bytes -= bytes;
            reservation.release();
        };
    }
}
