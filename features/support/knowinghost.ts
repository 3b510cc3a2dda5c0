import { brandAs } from "@filbertrelay/kernel";
import type { EndpointId, HostId } from "@filbertrelay/kernel";
import * as policy from "@filbertrelay/policy/ingress";

/** The hosts of an endpoint. */
export const hostIds = ["host-1", "host-2", "host-3"].map(id => brandAs<HostId>(id));
/** The endpoint that they share. */
export const endpoint = { endpointId: brandAs<EndpointId>("endpoint-1"), service: "service", capacity: 8 };

/** A host that knows of the endpoint what others report. */
export interface KnowingHost {
    readonly hostId: HostId;
    running: number;
    readonly rooms: policy.EndpointRooms;
}

/** `running` is the number of requests in progress at least, over all hosts. */
export function createKnowingHost(hostId: HostId, running = 0): KnowingHost {
    const host: KnowingHost = {
        hostId,
        running: 0,
        rooms: policy.createEndpointRooms({
            hostId,
            listHosts: () => hostIds,
            observe: () => () => ({
                running: Math.max(running, host.running),
                ownRunning: host.running,
                tokensAhead: 0,
                waitingTokens: 0,
            }),
            onChange: () => undefined,
            onJoin: () => undefined,
            onCount: () => undefined,
        }),
    };
    return host;
}

/** The requests that a host may have at the endpoint at once. */
export function countShare(host: KnowingHost, nowMs: number): number {
    for (host.running = 0; host.rooms.select(endpoint.service, [endpoint], nowMs).length > 0; host.running += 1) {
        // Each further request counts as running.
    }
    return host.running;
}
