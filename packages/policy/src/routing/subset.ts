import { rankByRendezvous } from "../rendezvous.js";

/** Options of `computeSubset`. */
export interface SubsetOptions {
    /** Items per entry host; all are kept when there are no more than this. */
    readonly size: number;
}

/**
 * The endpoints that an entry host uses at scale, by rendezvous hashing of the host over the endpoints.
 * Every host computes the same subset for a given host; a removed endpoint is replaced by one other.
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
