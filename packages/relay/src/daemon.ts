import {
    createCallBudget,
    createCloudClient,
    createHostListClient,
    createKeyValueClient,
    createWeightStoreClient,
} from "@filbertrelay/connectors";
import { createEngineDriver, createServiceDriver } from "@filbertrelay/endpoints";
import { brandAs, createKernel } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, Kernel } from "@filbertrelay/kernel";
import { createPeerNetwork } from "@filbertrelay/wire";
import { AdmissionControl } from "./admission/admission.js";
import { CallerServer } from "./caller/server.js";
import { PlainCalls } from "./calls/calls.js";
import { RetryBudgets } from "./calls/retry.js";
import { createConfigurationService } from "./configuration/service.js";
import type { ConfigurationService } from "./contract.js";
import { Directory } from "./directory/directory.js";
import { RelayedKeyValueClient } from "./keyvalue/relayed.js";
import { CallBudgetShare } from "./keyvalue/share.js";
import { Lifecycle } from "./lifecycle/lifecycle.js";
import { createMembershipService } from "./membership/service.js";
import { Planner } from "./planner/planner.js";
import { EngineRouter } from "./routing/router.js";
import type { Settings } from "./settings.js";
import { createShardService } from "./shards/index.js";
import { StreamService } from "./streams/service.js";
import { Suspects } from "./suspects/suspects.js";
import { Explanations } from "./telemetry/explanation.js";
import { Metrics } from "./telemetry/metrics.js";
import { Tracing } from "./telemetry/tracing.js";

/** Rate limits for calls to the key-value service until the configuration sets the budget. */
const initialCallRates = { readsPerSecond: 50, writesPerSecond: 20 };

/** Options of `createDaemon`. */
export interface DaemonOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Called after the daemon has drained and stopped. */
    readonly onDrained: () => void;
}

/** Registers all services of the daemon in the order in which they start. */
export function createDaemon(settings: Settings, options: DaemonOptions): Kernel {
    const kernel = createKernel(options);
    registerTelemetry(kernel, settings);
    registerPlatform(kernel, settings);
    registerFleet(kernel, settings);
    registerRequests(kernel, settings);
    kernel.register("planner", new Planner(kernel));
    kernel.register(
        "lifecycle",
        new Lifecycle(kernel, { drainLimitMs: settings.timing.drainLimitMs, onDrained: options.onDrained }),
    );
    return kernel;
}

function registerTelemetry(kernel: Kernel, settings: Settings): void {
    const hostId = settings.host.id;
    const { statsdAddress } = settings.metrics;
    const { otlpUrl } = settings.traces;
    kernel.register("metrics", new Metrics({ hostId, ...(statsdAddress === undefined ? {} : { statsdAddress }) }));
    kernel.register("tracing", new Tracing({ hostId, ...(otlpUrl === undefined ? {} : { otlpUrl }) }));
    kernel.register("explanations", new Explanations(kernel.clock));
}

function registerPlatform(kernel: Kernel, settings: Settings): void {
    const { clock } = kernel;
    const budget = createCallBudget({ clock, ...initialCallRates });
    const direct = createKeyValueClient({ url: settings.platform.keyValue, clock, budget });
    kernel.register("callBudget", budget);
    kernel.register("directKeyValue", direct);
    kernel.register("keyValue", new RelayedKeyValueClient(direct, kernel));
    kernel.register("cloud", createCloudClient({ url: settings.platform.cloud, clock }));
    kernel.register("hostList", createHostListClient({ url: settings.platform.hostList, clock }));
    kernel.register("weightStore", createWeightStoreClient({ url: settings.platform.weightStore, clock }));
    kernel.register("engines", createEngineDriver({ clock }));
    kernel.register("services", createServiceDriver({ clock }));
}

function registerFleet(kernel: Kernel, settings: Settings): void {
    kernel.register(
        "peers",
        createPeerNetwork({
            clock: kernel.clock,
            log: kernel.log,
            hostId: brandAs<HostId>(settings.host.id),
            listenAddress: settings.host.peerAddress,
            keys: settings.cluster.keys,
            frameBytes: settings.limits.frameBytes,
        }),
    );
    kernel.register("membership", createMembershipService(kernel, settings));
    const configuration: ConfigurationService = createConfigurationService(kernel);
    kernel.register("configuration", configuration);
    kernel.register("callBudgetShare", new CallBudgetShare(kernel));
    kernel.register("directory", new Directory(kernel));
}

function registerRequests(kernel: Kernel, settings: Settings): void {
    kernel.register("retries", new RetryBudgets(kernel));
    kernel.register("routing", new EngineRouter(kernel));
    kernel.register("suspects", new Suspects(kernel));
    kernel.register("admission", new AdmissionControl(kernel));
    kernel.register("shards", createShardService(kernel));
    kernel.register("streams", new StreamService(kernel, settings));
    kernel.register("calls", new PlainCalls(kernel));
    kernel.register("callers", new CallerServer(kernel, settings));
}
