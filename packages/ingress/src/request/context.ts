import type { Clock, EventLog, FailureDomainId } from "@filbertrelay/kernel";
import type {
    DemandMeter,
    EndpointHealth,
    FleetClock,
    FleetReach,
    LoadBoard,
    PromptCacheModel,
    RepeatBudget,
    ServiceTimings,
    UsageLedger,
    UsageQuota,
} from "@filbertrelay/policy/ingress";
import type { Dialect } from "../contract.js";
import type { ChannelPool } from "../endpoint/channelpool.js";
import type { ConfigurationState } from "../state/configuration.js";
import type { EndpointTable } from "../state/endpoints.js";
import type { IngressMetrics } from "../telemetry/metrics.js";

/** What requests share within one host. */
export interface RequestContext {
    readonly clock: Clock;
    /** Wall-clock time for counts that all hosts add up. */
    readonly fleetClock: FleetClock;
    readonly log: EventLog;
    readonly dialect: Dialect;
    readonly homeDomain: FailureDomainId;
    readonly configuration: ConfigurationState;
    readonly endpoints: EndpointTable;
    readonly channels: ChannelPool;
    readonly loads: LoadBoard;
    readonly promptCaches: PromptCacheModel;
    readonly health: EndpointHealth;
    readonly quota: UsageQuota;
    readonly repeats: RepeatBudget;
    readonly usage: UsageLedger;
    readonly timings: ServiceTimings;
    readonly demand: DemandMeter;
    /** Processor time that callers' requests take. */
    readonly callerWork: DemandMeter;
    readonly metrics: IngressMetrics;
    /** How much of the fleet this host exchanges its use with. */
    readonly reach: () => FleetReach;
    /** Whether the host stops and refuses a request that takes this long on average, because it could not finish it. */
    readonly isStopping: (durationMs: number) => boolean;
    /** Uniform in [0, 1). */
    readonly draw: () => number;
}
