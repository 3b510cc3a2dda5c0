import type { EndpointId } from "@filbertrelay/kernel";

/** A change of an engine's prefix cache. */
export interface PrefixCacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted";
    readonly block: string;
}

/** How many leading blocks of a prompt an endpoint holds. */
export interface PrefixMatch {
    /** Leading blocks confirmed by cache events or this host's dispatches. */
    readonly certainBlocks: number;
    /** Further leading blocks that were known before a gap in the events. */
    readonly uncertainBlocks: number;
}

/** One host's estimate of the endpoints' prefix cache contents, bounded in memory. */
export interface PrefixIndex {
    /** Records that a prompt was sent to the endpoint, which is expected to cache its blocks. */
    recordDispatch(endpointId: EndpointId, blocks: readonly string[]): void;
    /** Applies events in sequence order; returns whether events are missing, which makes older entries uncertain. */
    applyCacheEvents(endpointId: EndpointId, events: readonly PrefixCacheEvent[]): { readonly gap: boolean; };
    /** Sequence number of the last applied event; 0 without one. */
    lastSequence(endpointId: EndpointId): number;
    match(endpointId: EndpointId, blocks: readonly string[]): PrefixMatch;
    /** Drops the state of an endpoint, for example after a crash that emptied its cache. */
    forget(endpointId: EndpointId): void;
    /** Number of blocks known over all endpoints. */
    readonly size: number;
}

/** Options of `createPrefixIndex`. */
export interface PrefixIndexOptions {
    /** Maximum number of blocks per endpoint; the least recently used are evicted. 8192 by default. */
    readonly maximumBlocks?: number;
}

/** Creates an empty index. */
export function createPrefixIndex(options: PrefixIndexOptions = {}): PrefixIndex {
    return new BoundedPrefixIndex(options.maximumBlocks ?? 8192);
}

interface EndpointBlocks {
    /** Maps block hashes to the generation in which they were last confirmed, least recently used first. */
    readonly blocks: Map<string, number>;
    /** Incremented at each gap; entries of an older generation are uncertain. */
    generation: number;
    lastSequence: number;
}

class BoundedPrefixIndex implements PrefixIndex {
    readonly #maximumBlocks: number;
    readonly #endpoints = new Map<EndpointId, EndpointBlocks>();

    constructor(maximumBlocks: number) {
        this.#maximumBlocks = maximumBlocks;
    }

    get size(): number {
        return [...this.#endpoints.values()].reduce((sum, endpoint) => sum + endpoint.blocks.size, 0);
    }

    recordDispatch(endpointId: EndpointId, blocks: readonly string[]): void {
        const endpoint = this.#endpoint(endpointId);
        // Stored from last to first, so that the least recently used block is always the end of a prefix.
        for (let index = blocks.length - 1; index >= 0; index -= 1) {
            const block = blocks[index];
            if (block !== undefined) {
                touch(endpoint, block);
            }
        }
        this.#trim(endpoint);
    }

    applyCacheEvents(endpointId: EndpointId, events: readonly PrefixCacheEvent[]): { readonly gap: boolean; } {
        const endpoint = this.#endpoint(endpointId);
        let gap = false;
        for (const event of events) {
            if (event.sequence <= endpoint.lastSequence) {
                continue;
            }
            if (endpoint.lastSequence !== 0 && event.sequence !== endpoint.lastSequence + 1) {
                gap = true;
                endpoint.generation += 1;
            }
            endpoint.lastSequence = event.sequence;
            applyEvent(endpoint, event);
        }
        this.#trim(endpoint);
        return { gap };
    }

    lastSequence(endpointId: EndpointId): number {
        return this.#endpoints.get(endpointId)?.lastSequence ?? 0;
    }

    match(endpointId: EndpointId, blocks: readonly string[]): PrefixMatch {
        const endpoint = this.#endpoints.get(endpointId);
        let certainBlocks = 0;
        let known = 0;
        for (const block of blocks) {
            const generation = endpoint?.blocks.get(block);
            if (generation === undefined) {
                break;
            }
            if (generation === endpoint?.generation && certainBlocks === known) {
                certainBlocks += 1;
            }
            known += 1;
        }
        return { certainBlocks, uncertainBlocks: known - certainBlocks };
    }

    forget(endpointId: EndpointId): void {
        this.#endpoints.delete(endpointId);
    }

    #endpoint(endpointId: EndpointId): EndpointBlocks {
        const known = this.#endpoints.get(endpointId);
        if (known !== undefined) {
            return known;
        }
        const created: EndpointBlocks = { blocks: new Map(), generation: 0, lastSequence: 0 };
        this.#endpoints.set(endpointId, created);
        return created;
    }

    #trim(endpoint: EndpointBlocks): void {
        for (const block of endpoint.blocks.keys()) {
            if (endpoint.blocks.size <= this.#maximumBlocks) {
                return;
            }
            endpoint.blocks.delete(block);
        }
    }
}

function touch(endpoint: EndpointBlocks, block: string): void {
    endpoint.blocks.delete(block);
    endpoint.blocks.set(block, endpoint.generation);
}

function applyEvent(endpoint: EndpointBlocks, event: PrefixCacheEvent): void {
    if (event.kind === "stored") {
        touch(endpoint, event.block);
    }
    else {
        endpoint.blocks.delete(event.block);
    }
}
