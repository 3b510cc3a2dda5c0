import type { KeyValueClient } from "@filbertrelay/connectors";
import type { ServiceDriver } from "@filbertrelay/endpoints";
import type { Clock, EventLog, HostId, ServiceName } from "@filbertrelay/kernel";
import type { ResolutionMethod } from "@filbertrelay/policy";
import type { PeerNetwork } from "@filbertrelay/wire";
import type { Tracing } from "../telemetry/tracing.js";

/** Dependencies of a shard actor. */
export interface ShardContext {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly generation: number;
    readonly keyValue: KeyValueClient;
    readonly peers: PeerNetwork;
    readonly services: ServiceDriver;
    readonly keyRetentionMs: number;
    /** Undefined in processes that export no spans. */
    readonly tracing: Tracing | undefined;
    /** Endpoint ids of a service in order of preference; leaving endpoints are left out. */
    endpoints(service: string): readonly string[];
    /** The address of an endpoint; `undefined` when it is no longer listed. */
    address(service: ServiceName, endpointId: string): string | undefined;
    /** How an unknown outcome at this service can be resolved. */
    resolutionMethod(service: string): ResolutionMethod;
    /** True only when the cloud API says that the host is terminated. */
    isTerminated(host: HostId): Promise<boolean>;
    /** Entry hosts that the cloud API does not report as terminated; `undefined` when it can't be reached. */
    listHosts(): Promise<readonly HostId[] | undefined>;
}
