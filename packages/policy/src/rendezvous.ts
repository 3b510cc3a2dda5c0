import { xxHash32 } from "js-xxhash";

/** Hashes text to 32 bits with xxHash32. */
export function hashText(text: string, seed = 0): number {
    return xxHash32(text, seed);
}

/** More node ids than a process ranks. */
const maximumSeeds = 4_096;
const seeds = new Map<string, number>();
const encoder = new TextEncoder();

/** The score of a node for a key: uniformly distributed in (0, 1), and the same on every host. */
export function rendezvousScore(key: string, nodeId: string): number {
    return scoreBytes(encoder.encode(key), nodeId);
}

function scoreBytes(key: Uint8Array, nodeId: string): number {
    return (xxHash32(key, seedOf(nodeId)) + 0.5) / 4_294_967_296;
}

function seedOf(nodeId: string): number {
    const known = seeds.get(nodeId);
    if (known !== undefined) {
        return known;
    }
    if (seeds.size >= maximumSeeds) {
        seeds.clear();
    }
    const seed = xxHash32(nodeId);
    seeds.set(nodeId, seed);
    return seed;
}

/** Options of `rankByRendezvous`. */
export interface RendezvousOptions<T> {
    /** Relative share of the keys that an item gets; 1 for every item by default. */
    readonly weight?: (item: T) => number;
}

/**
 * Orders items by weighted rendezvous hashing, highest score first. Removing an item moves only the keys that were assigned to it.
 * Ties are broken by id, so that every host gets the same order.
 */
export function rankByRendezvous<T>(
    key: string,
    items: readonly T[],
    identify: (item: T) => string,
    options: RendezvousOptions<T> = {},
): T[] {
    const keyBytes = encoder.encode(key);
    const scored = items.map(item => {
        const id = identify(item);
        const weight = options.weight?.(item) ?? 1;
        return { item, id, score: -weight / Math.log(scoreBytes(keyBytes, id)) };
    });
    scored.sort((left, right) => right.score - left.score || (left.id < right.id ? -1 : 1));
    return scored.map(entry => entry.item);
}
