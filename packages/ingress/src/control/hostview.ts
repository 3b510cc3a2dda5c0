import type { HostDirectory } from "../fleet/directory.js";
import type { IngressMetrics } from "../telemetry/metrics.js";

/** The state of a host that the directory, readiness and metrics interfaces expose. */
export interface HostView {
    readonly directory: HostDirectory;
    readonly metrics: IngressMetrics;
    /** Whether the host accepts callers' requests. */
    readonly isReady: () => boolean;
    readonly directoryKeepMs: number;
    /** Number of hosts with which usage is exchanged, including this one. */
    readonly reachableHosts: () => number;
    /** Number of hosts that callers are directed to. */
    readonly servingHosts: () => number;
}
