import type { Clock, EventLog, FailureDomainId } from "@filbertrelay/kernel";
import type {
    AnswerMemory,
    DemandMeter,
    EndpointHealth,
    EndpointLimits,
    EndpointNotices,
    EndpointPaces,
    EndpointReach,
    EndpointRooms,
    EndpointRuns,
    FleetClock,
    FleetReach,
    LoadTracker,
    PromptCacheModel,
    Quarantine,
    ServiceTimings,
    UsageLedger,
    UsageQuota,
    WindowedRetryBudget,
} from "@filbertrelay/policy/ingress";
import type { Dialect, EndpointRecord } from "../contract.js";
import type { LinkMonitor } from "../endpoint/linkmonitor.js";
import type { StreamVersions } from "../fleet/streamversions.js";
import type { EndpointLinks } from "../relay/links.js";
import type { LinkRouter } from "../relay/router.js";
import type { VersionSplit } from "../rollout/versionsplit.js";
import type { ConfigurationState } from "../state/configuration.js";
import type { EndpointTable } from "../state/endpoints.js";
import type { IngressMetrics } from "../telemetry/metrics.js";
import type { CrashMonitor } from "./crashmonitor.js";

/** State and services that all requests of a host share. */
export interface RequestContext {
    readonly clock: Clock;
    /** Wall-clock time for the usage counts that are summed over all hosts. */
    readonly fleetClock: FleetClock;
    readonly log: EventLog;
    readonly dialect: Dialect;
    readonly homeDomain: FailureDomainId;
    readonly configuration: ConfigurationState;
    readonly endpoints: EndpointTable;
    readonly endpointReach: EndpointReach;
    readonly links: EndpointLinks;
    readonly router: LinkRouter;
    readonly linkMonitor: LinkMonitor;
    readonly answerMemory: AnswerMemory;
    readonly loads: LoadTracker;
    readonly promptCaches: PromptCacheModel;
    readonly health: EndpointHealth;
    readonly limits: EndpointLimits;
    readonly notices: EndpointNotices;
    readonly paces: EndpointPaces;
    readonly rooms: EndpointRooms;
    readonly runs: EndpointRuns;
    /** A monotonic time at which the copy of the store held everything that the store held. */
    readonly storeConfirmedMs: () => number;
    readonly streamVersions: StreamVersions;
    /** Limits new requests to software versions during a roll-out. */
    readonly rollouts: VersionSplit;
    readonly crashes: CrashMonitor;
    readonly quarantine: Quarantine;
    readonly quota: UsageQuota;
    readonly retryBudget: WindowedRetryBudget;
    readonly usage: UsageLedger;
    readonly timings: ServiceTimings;
    readonly demand: DemandMeter;
    /** Processor time spent on callers' requests. */
    readonly callerWork: DemandMeter;
    /** Time for which nothing more of a stream is read after its first event and each further read, in milliseconds. */
    readonly streamPauseMs: number;
    readonly metrics: IngressMetrics;
    /** How many hosts this host knows, and how many of them it exchanges usage with. */
    readonly reach: () => FleetReach;
    /** Whether the host is stopping and rejects new requests. */
    readonly isRefusing: () => boolean;
    /** Time until all responses must have ended, in milliseconds; infinite unless the host stops. */
    readonly stopLeftMs: () => number;
    /** Records that nothing listened at the address of an endpoint. */
    readonly recordRefusal: (endpoint: EndpointRecord) => void;
    /** Tells the other hosts what has just become known, instead of at the next interval. */
    readonly announce: () => void;
}
