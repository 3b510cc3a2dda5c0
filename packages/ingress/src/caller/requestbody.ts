/** Pieces below this size are joined, since each buffer of its own takes some hundred bytes more. */
const joinedBytes = 4_096;
const blockBytes = 16_384;

/** The body of a request as it arrives. */
export class RequestBody {
    readonly #blocks: Buffer[] = [];
    #tail: Buffer | undefined;
    #tailBytes = 0;
    #length = 0;
    #heldBytes = 0;

    /** Bytes that have arrived. */
    get length(): number {
        return this.#length;
    }

    /** Bytes of memory that the body takes. */
    get heldBytes(): number {
        return this.#heldBytes;
    }

    append(piece: Buffer): void {
        this.#length += piece.length;
        if (piece.length >= joinedBytes || this.#blocks.length === 0 && this.#tail === undefined) {
            this.#closeTail();
            this.#blocks.push(piece);
            this.#heldBytes += piece.length;
            return;
        }
        if (this.#tail === undefined || this.#tailBytes + piece.length > this.#tail.length) {
            this.#closeTail();
            this.#tail = Buffer.allocUnsafeSlow(blockBytes);
            this.#heldBytes += blockBytes;
        }
        piece.copy(this.#tail, this.#tailBytes);
        this.#tailBytes += piece.length;
    }

    /** Returns the whole body and keeps nothing. */
    take(): Buffer {
        this.#closeTail();
        const [only] = this.#blocks;
        const bytes = this.#blocks.length === 1 && only !== undefined ? only : Buffer.concat(this.#blocks, this.#length);
        this.clear();
        return bytes;
    }

    clear(): void {
        this.#blocks.length = 0;
        this.#tail = undefined;
        this.#tailBytes = 0;
        this.#heldBytes = 0;
        this.#length = 0;
    }

    #closeTail(): void {
        if (this.#tail !== undefined) {
            this.#blocks.push(this.#tail.subarray(0, this.#tailBytes));
            this.#tail = undefined;
            this.#tailBytes = 0;
        }
    }
}
