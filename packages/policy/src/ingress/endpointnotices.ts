import type { EndpointId } from "@filbertrelay/kernel";

/** One process of an endpoint. */
export interface EndpointProcess {
    readonly endpointId: EndpointId;
    readonly startedAtMs: number;
}

/** What endpoints have told this host of themselves in their answers. */
export interface EndpointNotices {
    /** Records that the endpoint leaves; returns whether that is news. */
    recordLeaving(endpoint: EndpointProcess): boolean;
    isLeaving(endpoint: EndpointProcess): boolean;
    forget(endpointId: EndpointId): void;
}

/** Creates a record without notices. */
export function createEndpointNotices(): EndpointNotices {
    /** Start times of the processes that leave; the next process under the same id does not. */
    const leaving = new Map<EndpointId, number>();
    const isLeaving = ({ endpointId, startedAtMs }: EndpointProcess): boolean => leaving.get(endpointId) === startedAtMs;
    return {
        recordLeaving: endpoint => {
            const isNews = !isLeaving(endpoint);
            leaving.set(endpoint.endpointId, endpoint.startedAtMs);
            return isNews;
        },
        isLeaving,
        forget: endpointId => void leaving.delete(endpointId),
    };
}
