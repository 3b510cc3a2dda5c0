import type { Store } from "@filbertrelay/connectors";
import { brandAs, createKernel } from "@filbertrelay/kernel";
import type { Clock, EventLog, FailureDomainId, HostId, Kernel } from "@filbertrelay/kernel";
import {
    createDemandMeter,
    createEndpointHealth,
    createFleetClock,
    createLoadBoard,
    createPromptCacheModel,
    createRepeatBudget,
    createServiceTimings,
    createUsageLedger,
    createUsageQuota,
} from "@filbertrelay/policy/ingress";
import { createPeerNetwork } from "@filbertrelay/wire";
import { IngressServer } from "./caller/server.js";
import type { Dialect, DutyCalls, StoreDecoder } from "./contract.js";
import { ControlServer } from "./control/server.js";
import type { ControlRoutes } from "./control/server.js";
import { chooseContendDelay } from "./duty/contention.js";
import { Lead, readDutyHolder } from "./duty/lead.js";
import { ScalingDuty } from "./duty/scalingduty.js";
import { UsageDuty } from "./duty/usageduty.js";
import { ChannelPool } from "./endpoint/channelpool.js";
import { HostDirectory } from "./fleet/directory.js";
import { PeerExchange } from "./fleet/exchange.js";
import { HostTable } from "./fleet/hosts.js";
import { createIncarnation } from "./fleet/incarnation.js";
import { Registration } from "./fleet/registration.js";
import { StoreNews } from "./fleet/storenews.js";
import { IngressLifecycle } from "./lifecycle.js";
import type { RequestContext } from "./request/context.js";
import { RequestPipeline } from "./request/pipeline.js";
import type { IngressSettings } from "./settings.js";
import { ConfigurationState } from "./state/configuration.js";
import { EndpointTable } from "./state/endpoints.js";
import { StoreMirror } from "./state/mirror.js";
import { IngressMetrics } from "./telemetry/metrics.js";

/** What a host shows to the interfaces that are served beside the callers' requests. */
export interface HostView {
    readonly directory: HostDirectory;
    readonly metrics: IngressMetrics;
    /** Whether the host takes callers' requests. */
    readonly isReady: () => boolean;
    readonly directoryKeepMs: number;
    /** Hosts with which use is exchanged, this one included. */
    readonly reachableHosts: () => number;
    /** Hosts that callers are sent to. */
    readonly servingHosts: () => number;
}

/** Notes a call to an outside service and its result for the metrics. */
export type CallObserver = (kind: string, result: string) => void;

/** What an environment brings: its store, its wire formats and the interfaces that it expects. */
export interface Environment {
    readonly createStore: (onCall: CallObserver) => Store;
    readonly decoder: StoreDecoder;
    readonly dialect: Dialect;
    /** Gives `undefined` where no duties are due. */
    readonly createDuties: (onCall: CallObserver) => DutyCalls | undefined;
    /** The interface on the directory address. */
    readonly createDirectoryRoutes: (view: HostView) => ControlRoutes;
    /** The interface on the readiness address. */
    readonly createReadyRoutes: (view: HostView) => ControlRoutes;
}

/** Options of `createIngressDaemon`. */
export interface IngressDaemonOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Uniform in [0, 1). */
    readonly draw: () => number;
    readonly environment: Environment;
}

/** Tokens that one engine is taken to keep for this host's prompts; an engine's memory is shared by all hosts and running requests. */
const assumedCacheTokens = 60_000;
/** Largest message between hosts: a whole copy of the store's items. */
const peerFrameBytes = 8_388_608;

/** Callers' work is averaged over less time than the demand for engines: a serving host is ready at once. */
const callerWorkSpan = { spanMs: 3_000, shortestSpanMs: 1_000 };
/** Peers exchange reports several times a second, so that a silent connection shows by its calls; heartbeats only add to that. */
const peerHeartbeatMs = 2_000;

/** Registers all services of an ingress host in the order in which they start. */
export function createIngressDaemon(settings: IngressSettings, options: IngressDaemonOptions): Kernel {
    const { clock, log, draw, environment } = options;
    const { promises } = settings;
    const kernel = createKernel({ clock, log });
    const hostId = brandAs<HostId>(settings.host.id);
    const failureDomain = brandAs<FailureDomainId>(settings.host.failureDomain);
    const incarnation = createIncarnation(clock.now(), draw);
    const nowMs = clock.monotonicMs();

    const metrics = new IngressMetrics();
    const store = environment.createStore((kind, result) => metrics.recordStoreCall(kind, result));
    const applyMs = Math.min(promises.endpointLeaveMs, promises.configurationApplyMs);
    const mirror = new StoreMirror({ store, clock, log, draw, applyMs });
    const configuration = new ConfigurationState({ mirror, decoder: environment.decoder, log, metrics });
    const endpoints = new EndpointTable({ mirror, decoder: environment.decoder, log });
    const hosts = new HostTable({ mirror, log });
    const quota = createUsageQuota({ windowMs: promises.quotaWindowSeconds * 1_000, tolerance: promises.quotaTolerance, nowMs });
    const fleetClock = createFleetClock({ clock });
    const usage = createUsageLedger(promises.usageWindowSeconds * 1_000);
    const loads = createLoadBoard();
    const demand = createDemandMeter();
    const callerWork = createDemandMeter(callerWorkSpan);
    const health = createEndpointHealth();
    const promptCaches = createPromptCacheModel(assumedCacheTokens);
    const channels = new ChannelPool(clock, { onOpened: service => metrics.recordChannel(service) });
    const peers = createPeerNetwork({
        clock,
        log,
        hostId,
        listenAddress: settings.host.peerAddress,
        keys: settings.cluster.keys,
        frameBytes: peerFrameBytes,
        heartbeatMs: peerHeartbeatMs,
    });
    const exchange = new PeerExchange({
        clock,
        log,
        hostId,
        incarnation,
        peers,
        hosts,
        counts: { quota, usage, loads, demand, callerWork },
        fleetClock,
        dutyHolder: () => readDutyHolder(mirror),
    });
    const { serving } = exchange;
    const news = new StoreNews({
        clock,
        hostId,
        peers,
        mirror,
        listHeard: () => exchange.listHeard(),
        serving,
    });
    exchange.carry(news);
    const registration = new Registration({
        store,
        clock,
        log,
        hostId,
        entry: {
            incarnation,
            callerAddress: settings.host.callerAddress,
            peerAddress: settings.host.peerAddress,
            failureDomain,
            strength: settings.host.processorShare * settings.host.processorSpeed,
        },
        countHosts: () => mirror.revision > 0 ? hosts.size : undefined,
    });
    endpoints.onEnded(endpointId => {
        channels.forget(endpointId);
        health.forget(endpointId);
        promptCaches.forget(endpointId);
    });
    const context: RequestContext = {
        clock,
        fleetClock,
        log,
        dialect: environment.dialect,
        homeDomain: failureDomain,
        configuration,
        endpoints,
        channels,
        loads,
        promptCaches,
        health,
        quota,
        repeats: createRepeatBudget({
            windowMs: promises.repeatWindowSeconds * 1_000,
            ratio: promises.repeatRatio,
            extra: promises.repeatExtra,
            nowMs,
        }),
        usage,
        timings: createServiceTimings(),
        demand,
        callerWork,
        metrics,
        reach: () => exchange.reach(),
        isStopping: durationMs => lifecycle.isRefusing(durationMs),
        draw,
    };
    const server = new IngressServer({
        clock,
        address: settings.host.callerAddress,
        configuration,
        pipeline: new RequestPipeline(context),
    });
    const lead = new Lead({
        store,
        mirror,
        clock,
        log,
        hostId,
        incarnation,
        leaseMs: promises.leadPauseMs,
        draw,
        contendDelayMs: () => chooseContendDelay(hostId, { hosts: hosts.list(), serving }),
    });
    const lifecycle = new IngressLifecycle(kernel, {
        registration,
        lead,
        server,
        stopLimitMs: promises.stopLimitSeconds * 1_000,
        directoryKeepMs: promises.directoryKeepSeconds * 1_000,
    });
    const view: HostView = {
        directory: new HostDirectory({
            clock,
            serving,
            hostId,
            ownAddress: () => lifecycle.isStopAsked ? undefined : settings.host.callerAddress,
        }),
        metrics,
        isReady: () => configuration.current() !== undefined && !lifecycle.isStopAsked,
        directoryKeepMs: promises.directoryKeepSeconds * 1_000,
        reachableHosts: () => exchange.reach().reachableHosts,
        servingHosts: () => serving.serving.length,
    };
    kernel.register("mirror", mirror);
    kernel.register("peers", peers);
    kernel.register("storeNews", news);
    kernel.register("exchange", exchange);
    kernel.register("callers", server);
    kernel.register("registration", registration);
    registerControl(kernel, settings, environment, view);
    const duties = environment.createDuties((kind, result) => metrics.recordDutyCall(kind, result));
    if (duties !== undefined && settings.duties !== undefined) {
        const common = { clock, log, lead, duties };
        kernel.register("lead", lead);
        if (settings.duties.usage) {
            const { usageWindowSeconds, usageDueSeconds } = promises;
            const windows = { windowMs: usageWindowSeconds * 1_000, dueMs: usageDueSeconds * 1_000 };
            kernel.register("usageDuty", new UsageDuty({ ...common, ...windows, store, mirror, usage, fleetClock }));
        }
        if (settings.duties.scaling) {
            kernel.register("scalingDuty", new ScalingDuty({ ...common, configuration, endpoints, demand }));
        }
    }
    kernel.register("lifecycle", lifecycle);
    return kernel;
}

function registerControl(kernel: Kernel, settings: IngressSettings, environment: Environment, view: HostView): void {
    const { directoryAddress, readyAddress, metricsAddress } = settings.host;
    const serve = (name: string, address: string | undefined, routes: ControlRoutes): void => {
        if (address !== undefined) {
            kernel.register(name, new ControlServer({ address, routes }));
        }
    };
    serve("directory", directoryAddress, environment.createDirectoryRoutes(view));
    serve("metrics", metricsAddress, createMetricsRoutes(view));
    serve("readiness", readyAddress, environment.createReadyRoutes(view));
}

function createMetricsRoutes(view: HostView): ControlRoutes {
    return {
        "/metrics": async () => {
            view.metrics.setReachableHosts(view.reachableHosts());
            view.metrics.setServingHosts(view.servingHosts());
            return { status: 200, contentType: "text/plain", body: await view.metrics.render() };
        },
    };
}
