import type { EventLog, HostId } from "@filbertrelay/kernel";
import { createEndpointRooms } from "@filbertrelay/policy/ingress";
import type { EndpointRooms, LoadTracker } from "@filbertrelay/policy/ingress";
import type { IngressMetrics } from "../telemetry/metrics.js";
import { requestEvents } from "./event.js";

/** Options of `createRooms`. */
export interface RoomsOptions {
    readonly hostId: HostId;
    readonly listHosts: () => readonly HostId[];
    readonly loads: LoadTracker;
    readonly log: EventLog;
    readonly metrics: IngressMetrics;
    /** Tells the other hosts at once. */
    readonly announce: () => void;
}

/** Every priority counts as urgent, since a request that waits takes room too. */
const anyPriority = Infinity;

/** Creates the record of brittle endpoints that a host keeps, with its log events and metrics. */
export function createRooms({ hostId, listHosts, loads, log, metrics, announce }: RoomsOptions): EndpointRooms {
    return createEndpointRooms({
        hostId,
        listHosts,
        observe: nowMs => loads.estimator(anyPriority, nowMs),
        onChange: ({ endpointId, service }, change, window) => {
            if (change === "full") {
                log.write(requestEvents.brittleEndpointFull, { endpoint: endpointId, window });
                metrics.recordBrittleRejection(service);
            }
            else {
                log.write(requestEvents.brittleChanged, { endpoint: endpointId, change, window });
            }
            announce();
        },
        onJoin: announce,
        onCount: brittle => metrics.setBrittleEndpoints(brittle),
    });
}
