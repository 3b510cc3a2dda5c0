import { rankByRendezvous } from "../rendezvous.js";

/** Options of `computeSubset`. */
export interface SubsetOptions {
    /** Number of endpoints per entry host. */
    readonly size: number;
}

/**
 * Limits the endpoints that an entry host uses in large fleets, by rendezvous hashing. All endpoints are used if there are at
 * most `size`. Every host computes the same subset for a given host, and a removed endpoint is replaced by one other.
 */
export function computeSubset<T>(
    hostId: string,
    endpoints: readonly T[],
    identify: (endpoint: T) => string,
    options: SubsetOptions,
): readonly T[] {
    if (endpoints.length <= options.size) {
        return endpoints;
    }
    return rankByRendezvous(hostId, endpoints, identify).slice(0, options.size);
}
