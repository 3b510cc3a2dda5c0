/** A change of the block cache. */
export interface BlockChange {
    readonly kind: "stored" | "evicted";
    readonly block: string;
}

/** A prefix cache in blocks with least-recently-used eviction; blocks of running requests are pinned. */
export class BlockCache {
    readonly #capacity: number;
    readonly #onChange: (change: BlockChange) => void;
    /** Block to its number of pins, in order of use. */
    readonly #blocks = new Map<string, number>();
    #pinned = 0;
    #reserved = 0;

    constructor(capacity: number, onChange: (change: BlockChange) => void) {
        this.#capacity = capacity;
        this.#onChange = onChange;
    }

    get size(): number {
        return this.#blocks.size;
    }

    /** Number of leading blocks that are stored. */
    match(blocks: readonly string[]): number {
        const missing = blocks.findIndex(block => !this.#blocks.has(block));
        return missing < 0 ? blocks.length : missing;
    }

    /** Blocks that could be taken without touching pinned ones. */
    get available(): number {
        return this.#capacity - this.#reserved - this.#pinned;
    }

    /** Reserves memory that belongs to one request only. */
    reserve(blocks: number): void {
        this.#reserved += blocks;
        this.#evict();
    }

    release(blocks: number): void {
        this.#reserved -= blocks;
    }

    /** Stores a block or finds it stored, and pins it. */
    pin(block: string): void {
        const pins = this.#blocks.get(block);
        this.#blocks.delete(block);
        this.#blocks.set(block, (pins ?? 0) + 1);
        if (pins === undefined || pins === 0) {
            this.#pinned += 1;
        }
        if (pins === undefined) {
            this.#onChange({ kind: "stored", block });
            this.#evict();
        }
    }

    /** Removes one pin from each block; the last block of the prefix becomes the least recently used. */
    unpin(blocks: readonly string[]): void {
        for (let index = blocks.length - 1; index >= 0; index -= 1) {
            const block = blocks[index];
            const pins = block === undefined ? undefined : this.#blocks.get(block);
            if (block === undefined || pins === undefined || pins === 0) {
                continue;
            }
            this.#blocks.delete(block);
            this.#blocks.set(block, pins - 1);
            this.#pinned -= pins === 1 ? 1 : 0;
        }
    }

    /** Empties the cache without events, as a crash does. */
    clear(): void {
        this.#blocks.clear();
        this.#pinned = 0;
        this.#reserved = 0;
    }

    #evict(): void {
        for (const [block, pins] of this.#blocks) {
            if (this.#blocks.size + this.#reserved <= this.#capacity) {
                return;
            }
            if (pins === 0) {
                this.#blocks.delete(block);
                this.#onChange({ kind: "evicted", block });
            }
        }
    }
}
