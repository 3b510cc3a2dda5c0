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
    /** Records that the endpoint wants no requests from this host until a time. */
    recordPause(endpoint: EndpointProcess, untilMs: number): void;
    /** Time until the endpoint takes requests again; 0 if it does. */
    pauseMs(endpoint: EndpointProcess, nowMs: number): number;
    forget(endpointId: EndpointId): void;
}

/** Creates a record without notices. */
export function createEndpointNotices(): EndpointNotices {
    /** Start times of the processes that leave; the next process under the same id does not. */
    const leaving = new Map<EndpointId, number>();
    const pauses = new Map<EndpointId, { readonly startedAtMs: number; readonly untilMs: number; }>();
    const isLeaving = ({ endpointId, startedAtMs }: EndpointProcess): boolean => leaving.get(endpointId) === startedAtMs;
    return {
        recordLeaving: endpoint => {
            const isNews = !isLeaving(endpoint);
            leaving.set(endpoint.endpointId, endpoint.startedAtMs);
            return isNews;
        },
        isLeaving,
        recordPause: ({ endpointId, startedAtMs }, untilMs) => void pauses.set(endpointId, { startedAtMs, untilMs }),
        pauseMs: ({ endpointId, startedAtMs }, nowMs) => {
            const pause = pauses.get(endpointId);
            return pause?.startedAtMs === startedAtMs ? Math.max(0, pause.untilMs - nowMs) : 0;
        },
        forget: endpointId => {
            leaving.delete(endpointId);
            pauses.delete(endpointId);
        },
    };
}
