/** A change of the prefix cache as the engine announces it. */
export interface CacheChange {
    readonly sequence: number;
    readonly kind: "stored" | "evicted";
    readonly block: string;
}

/** Announces cache changes late and leaves some out, as engines do. */
export class CacheEventLog {
    readonly #lagMs: number;
    readonly #gapEvery: number;
    readonly #events: (CacheChange & { readonly visibleAtMs: number; })[] = [];
    // Starts from the time, so that an engine that restarts as a new process goes on with higher numbers.
    readonly #firstSequence = Date.now() * 1_000;
    #sequence = 0;

    /** Every `gapEvery`-th event is lost; 0 loses none. */
    constructor(lagMs: number, gapEvery: number) {
        this.#lagMs = lagMs;
        this.#gapEvery = gapEvery;
    }

    add(kind: CacheChange["kind"], block: string): void {
        this.#sequence += 1;
        if (this.#gapEvery > 0 && this.#sequence % this.#gapEvery === 0) {
            return;
        }
        const sequence = this.#firstSequence + this.#sequence;
        this.#events.push({ sequence, kind, block, visibleAtMs: performance.now() + this.#lagMs });
        if (this.#events.length > keptEvents) {
            this.#events.splice(0, keptEvents / 2);
        }
    }

    /** Visible events with a higher sequence, oldest first. */
    visibleAfter(sequence: number): readonly CacheChange[] {
        // Readers are nearly up to date, so the search goes backwards from the newest event.
        let start = this.#events.length;
        while (start > 0 && (this.#events[start - 1]?.sequence ?? 0) > sequence) {
            start -= 1;
        }
        const nowMs = performance.now();
        const candidates = this.#events.slice(start, start + eventsPerReply);
        return candidates.filter(event => event.visibleAtMs <= nowMs).map(({ sequence: number, kind, block }) => ({
            sequence: number,
            kind,
            block,
        }));
    }
}

const keptEvents = 100_000;
const eventsPerReply = 10_000;

/** Prefix blocks in limited memory; the least recently used block is evicted. */
export class PrefixCache {
    readonly #capacity: number;
    readonly #log: CacheEventLog;
    // A Map keeps insertion order, so its first key is the least recently used block.
    readonly #blocks = new Map<string, true>();

    constructor(capacityBlocks: number, log: CacheEventLog) {
        this.#capacity = capacityBlocks;
        this.#log = log;
    }

    get isEnabled(): boolean {
        return this.#capacity > 0;
    }

    /** Counts the leading blocks that are cached and marks them as used. */
    match(blocks: readonly string[]): number {
        const firstMissing = blocks.findIndex(block => !this.#blocks.has(block));
        const matched = firstMissing === -1 ? blocks.length : firstMissing;
        blocks.slice(0, matched).forEach(block => this.#touch(block));
        return matched;
    }

    store(blocks: readonly string[]): void {
        for (const block of blocks.slice(0, this.#capacity)) {
            const isNew = !this.#blocks.has(block);
            this.#touch(block);
            if (isNew) {
                this.#log.add("stored", block);
                this.#evict();
            }
        }
    }

    clear(): void {
        [...this.#blocks.keys()].forEach(block => this.#log.add("evicted", block));
        this.#blocks.clear();
    }

    #touch(block: string): void {
        this.#blocks.delete(block);
        this.#blocks.set(block, true);
    }

    #evict(): void {
        while (this.#blocks.size > this.#capacity) {
            const oldest = this.#blocks.keys().next();
            if (oldest.done === true) {
                return;
            }
            this.#blocks.delete(oldest.value);
            this.#log.add("evicted", oldest.value);
        }
    }
}
