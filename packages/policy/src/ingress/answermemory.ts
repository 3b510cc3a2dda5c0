import type { EndpointId } from "@filbertrelay/kernel";

/** Limits of `AnswerMemory`, in bytes. */
export interface AnswerMemoryLimits {
    /** For the answers of all endpoints together. */
    readonly totalBytes: number;
    /** For the answers of one endpoint, so that a faulty one leaves room for the others. */
    readonly endpointBytes: number;
}

/** Why memory is not granted: the endpoint holds its share, or all endpoints together hold everything. */
export type MemoryRefusal = "endpoint" | "total";

/** Memory of one host for answers that are buffered until they are complete. */
export class AnswerMemory {
    readonly #limits: AnswerMemoryLimits;
    readonly #held = new Map<EndpointId, number>();
    #total = 0;

    constructor(limits: AnswerMemoryLimits) {
        this.#limits = limits;
    }

    /** Bytes that are held for all endpoints. */
    get heldBytes(): number {
        return this.#total;
    }

    /** Reserves bytes for an answer; returns why not if a limit would be exceeded, with nothing reserved. */
    reserve(endpointId: EndpointId, bytes: number): MemoryRefusal | undefined {
        const held = (this.#held.get(endpointId) ?? 0) + bytes;
        if (held > this.#limits.endpointBytes) {
            return "endpoint";
        }
        if (this.#total + bytes > this.#limits.totalBytes) {
            return "total";
        }
        this.#held.set(endpointId, held);
        this.#total += bytes;
        return undefined;
    }

    /** Gives back what was reserved for an answer. */
    release(endpointId: EndpointId, bytes: number): void {
        const left = (this.#held.get(endpointId) ?? 0) - bytes;
        this.#total -= bytes;
        if (left > 0) {
            this.#held.set(endpointId, left);
        }
        else {
            this.#held.delete(endpointId);
        }
    }
}

/** The memory of one answer, which grows and shrinks with what is buffered of it. */
export class AnswerReservation {
    readonly #memory: AnswerMemory;
    readonly #endpointId: EndpointId;
    #bytes = 0;

    constructor(memory: AnswerMemory, endpointId: EndpointId) {
        this.#memory = memory;
        this.#endpointId = endpointId;
    }

    /** Changes the reservation to a number of bytes; returns why not, with the reservation as it was. */
    resize(bytes: number): MemoryRefusal | undefined {
        const added = bytes - this.#bytes;
        if (added > 0) {
            const refusal = this.#memory.reserve(this.#endpointId, added);
            if (refusal !== undefined) {
                return refusal;
            }
        }
        else {
            this.#memory.release(this.#endpointId, -added);
        }
        this.#bytes = bytes;
        return undefined;
    }

    /** Gives everything back. */
    release(): void {
        this.resize(0);
    }
}
