const minimumCapacityBytes = 512;

/** Bytes that arrive in pieces of any size, kept in one block, so that a piece costs no more memory than its bytes. */
export class ByteBuffer {
    #block = Buffer.alloc(0);
    #length = 0;

    /** Number of bytes. */
    get length(): number {
        return this.#length;
    }

    /** Size of the block once a piece of some bytes is added. */
    capacityWith(bytes: number): number {
        const needed = this.#length + bytes;
        return needed <= this.#block.length ? this.#block.length : Math.max(needed, 2 * this.#block.length, minimumCapacityBytes);
    }

    append(piece: Buffer): void {
        const capacity = this.capacityWith(piece.length);
        if (capacity > this.#block.length) {
            const block = Buffer.allocUnsafe(capacity);
            this.#block.copy(block, 0, 0, this.#length);
            this.#block = block;
        }
        piece.copy(this.#block, this.#length);
        this.#length += piece.length;
    }

    /** The bytes, valid until the next call of `append` or `clear`. */
    view(): Buffer {
        return this.#block.subarray(0, this.#length);
    }

    /** Returns the bytes and starts anew. */
    take(): Buffer {
        const bytes = this.view();
        this.clear();
        return bytes;
    }

    clear(): void {
        this.#block = Buffer.alloc(0);
        this.#length = 0;
    }
}
