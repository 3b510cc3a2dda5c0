import type { Store } from "@filbertrelay/connectors";
import { brandAs, createKernel } from "@filbertrelay/kernel";
import type { Clock, EventLog, FailureDomainId, HostId, Kernel } from "@filbertrelay/kernel";
import {
    AnswerMemory,
    createDemandMeter,
    createEndpointHealth,
    createEndpointLimits,
    createEndpointNotices,
    createEndpointPaces,
    createFleetClock,
    createLoadTracker,
    createPromptCacheModel,
    createQuarantine,
    createServiceTimings,
    createUsageLedger,
    createUsageQuota,
    createWindowedRetryBudget,
    EndpointRuns,
    FinalCounts,
    rankByRendezvous,
    VersionHistory,
} from "@filbertrelay/policy/ingress";
import type { EndpointProcess } from "@filbertrelay/policy/ingress";
import { createPeerNetwork } from "@filbertrelay/wire";
import { createCallerLimits } from "./caller/limits.js";
import { IngressServer } from "./caller/server.js";
import type { Dialect, DutyCalls, StoreDecoder } from "./contract.js";
import type { HostView } from "./control/hostview.js";
import { registerControl } from "./control/registration.js";
import type { ControlRoutes } from "./control/server.js";
import { chooseContendDelay } from "./duty/contention.js";
import { EndpointScaler } from "./duty/endpointscaler.js";
import { DutyLease, readDutyHolder } from "./duty/lease.js";
import { UsageReporter } from "./duty/usagereporter.js";
import { ConnectionPool } from "./endpoint/connectionpool.js";
import { probeAddress } from "./endpoint/reachability.js";
import { HostDirectory } from "./fleet/directory.js";
import { PeerExchange } from "./fleet/exchange.js";
import { SharedFindings } from "./fleet/findings.js";
import { HostTable } from "./fleet/hosts.js";
import type { HostRecord } from "./fleet/hosts.js";
import { createIncarnation } from "./fleet/incarnation.js";
import { OriginArchive } from "./fleet/originarchive.js";
import { Registration } from "./fleet/registration.js";
import { StoreSync } from "./fleet/storesync.js";
import { StreamVersions } from "./fleet/streamversions.js";
import { IngressLifecycle } from "./lifecycle.js";
import { createArrivalGate } from "./pressure/creategate.js";
import type { RequestContext } from "./request/context.js";
import { CrashMonitor } from "./request/crashmonitor.js";
import { createRooms } from "./request/createrooms.js";
import { requestEvents } from "./request/event.js";
import { RequestPipeline } from "./request/pipeline.js";
import { createRollouts } from "./rollout/rollouts.js";
import type { IngressSettings } from "./settings.js";
import { ConfigurationState } from "./state/configuration.js";
import { EndpointTable } from "./state/endpoints.js";
import { StoreMirror } from "./state/mirror.js";
import { createOwnedPrefixes } from "./state/ownedprefixes.js";
import { VersionRecorder } from "./state/versionrecorder.js";
import { IngressMetrics } from "./telemetry/metrics.js";

/** An entry is removed after three intervals without a report; the next process reports within one. */
const entryReplacedHeartbeats = 4;

/** Records a call to an external service and its result in the metrics. */
export type CallObserver = (kind: string, result: string) => void;

/** The platform-specific parts of a host: store client, wire formats and HTTP interfaces. */
export interface Environment {
    readonly createStore: (onCall: CallObserver) => Store;
    readonly decoder: StoreDecoder;
    readonly dialect: Dialect;
    /** Returns `undefined` where hosts have no duties. */
    readonly createDuties: (onCall: CallObserver) => DutyCalls | undefined;
    /** Handlers for the directory address. */
    readonly createDirectoryRoutes: (view: HostView) => ControlRoutes;
    /** Handlers for the readiness address. */
    readonly createReadyRoutes: (view: HostView) => ControlRoutes;
}

export interface IngressDaemonOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    /** Uniform in [0, 1). */
    readonly draw: () => number;
    readonly environment: Environment;
}

/** An endpoint that started longer ago than this is taken for one that is in full use. */
const slowStartMs = 10_000;
/** Fraction of the delay of an event for which a stream isn't read: each read and write costs a small host about 0.2 ms. */
const streamPauseShare = 0.5;
/** Tokens of this host's prompts that one engine is assumed to cache; all hosts and running requests share the engine's memory. */
const promptCacheTokens = 60_000;
/** Largest message between hosts: a full copy of the store's items. */
const peerFrameBytes = 8_388_608;

/** Shorter averaging than for engine demand, because an additional serving host is available immediately. */
const callerWorkAveraging = { spanMs: 3_000, shortestSpanMs: 1_000 };
/** Long, since peers exchange reports several times a second and a dead connection already shows in these calls. */
const peerHeartbeatMs = 2_000;

/** Creates an ingress host and registers its services in start order. */
export function createIngressDaemon(settings: IngressSettings, options: IngressDaemonOptions): Kernel {
    const { clock, log, draw, environment } = options;
    const { promises } = settings;
    const kernel = createKernel({ clock, log });
    const hostId = brandAs<HostId>(settings.host.id);
    const failureDomain = brandAs<FailureDomainId>(settings.host.failureDomain);
    const incarnation = createIncarnation(clock.now(), draw);
    const nowMs = clock.monotonicMs();

    const metrics = new IngressMetrics();
    const callerLimits = createCallerLimits(settings, { clock, log, metrics });
    const store = environment.createStore((kind, result) => metrics.recordStoreCall(kind, result));
    const applyMs = Math.min(promises.endpointLeaveMs, promises.configurationApplyMs);
    const mirror = new StoreMirror({
        store,
        clock,
        log,
        draw,
        applyMs,
        ownedPrefixes: createOwnedPrefixes(environment.decoder, promises.endpointHeartbeatMs),
        onUpdate: ({ way, copyAgeMs }) => copyAgeMs === undefined ? undefined : metrics.recordChangeAge(way, copyAgeMs),
        onListenerError: () => metrics.recordInternalError("entry"),
    });
    const configuration = new ConfigurationState({ mirror, decoder: environment.decoder, log, metrics });
    const endpoints = new EndpointTable({ mirror, decoder: environment.decoder, log });
    const hosts = new HostTable({ mirror, log });
    const quota = createUsageQuota({ windowMs: promises.quotaWindowSeconds * 1_000, tolerance: promises.quotaTolerance, nowMs });
    const fleetClock = createFleetClock({ clock });
    const finals = new FinalCounts();
    const usage = createUsageLedger(promises.usageWindowSeconds * 1_000);
    const loads = createLoadTracker();
    const demand = createDemandMeter();
    const callerWork = createDemandMeter(callerWorkAveraging);
    const health = createEndpointHealth();
    const notices = createEndpointNotices();
    const runs = new EndpointRuns(entryReplacedHeartbeats * promises.endpointHeartbeatMs);
    const storeConfirmedMs = (): number => clock.monotonicMs() - mirror.ageMs();
    const promptCaches = createPromptCacheModel(promptCacheTokens);
    const connections = new ConnectionPool(clock, { onOpened: service => metrics.recordConnection(service) });
    const peers = createPeerNetwork({
        clock,
        log,
        hostId,
        listenAddress: settings.host.peerAddress,
        keys: settings.cluster.keys,
        frameBytes: peerFrameBytes,
        heartbeatMs: peerHeartbeatMs,
    });
    const quarantine = createQuarantine({
        isTrialHost: cause => rankByRendezvous(cause, exchange.listReachable(), id => id)[0] === hostId,
        onChange: (cause, change) => {
            log.write(change === "quarantined" ? requestEvents.causeQuarantined : requestEvents.causeReleased, { cause });
            metrics.setQuarantinedCauses(quarantine.quarantined().length);
            exchange.announce();
        },
    });
    const limits = createEndpointLimits({ hostId, listHosts: () => exchange.listReachable() });
    const listHosts = (): readonly HostId[] => exchange.listReachable();
    const rooms = createRooms({ hostId, listHosts, loads, log, metrics, announce: () => exchange.announce() });
    const paces = createEndpointPaces({
        hostId,
        listHosts: () => exchange.listReachable(),
        onChange: (endpoint, change, window) => {
            log.write(requestEvents.paceChanged, { endpoint, change, window });
            metrics.setStartingEndpoints(paces.size);
        },
    });
    endpoints.onStarted(record => {
        if (fleetClock.now().getTime() - record.startedAtMs < slowStartMs) {
            paces.start(record, clock.monotonicMs());
        }
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
        findings: new SharedFindings({ quarantine, limits, runs, paces, rooms, finals }),
        dutyHolder: () => readDutyHolder(mirror),
    });
    const { serving } = exchange;
    const storeSync = new StoreSync({
        clock,
        hostId,
        peers,
        mirror,
        listReachable: () => exchange.listReachable(),
        serving,
        applyMs,
    });
    exchange.setStoreSync(storeSync);
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
        writesPerSecond: settings.store.writesPerSecond,
        draw,
    });
    endpoints.onEnded(endpointId => {
        connections.forget(endpointId);
        health.forget(endpointId);
        limits.forget(endpointId);
        notices.forget(endpointId);
        paces.forget(endpointId);
        promptCaches.forget(endpointId);
    });
    const history = new VersionHistory(fleetClock.now().getTime());
    const listVersionHosts = (): readonly HostRecord[] => serving.isFullFleet ? hosts.list() : serving.serving;
    const streamVersions = new StreamVersions({
        clock,
        fleetClock,
        log,
        hostId,
        peers,
        history,
        listHosts: listVersionHosts,
        isReachable: other => exchange.isReachable(other),
        archive: origins => originArchive.add(origins),
        copyAgeMs: () => mirror.ageMs(),
    });
    const originArchive = new OriginArchive({
        store,
        clock,
        fleetClock,
        log,
        hostId,
        incarnation,
        mirror,
        onStored: origin => streamVersions.remember(origin),
    });
    const versionRecorder = new VersionRecorder({
        store,
        clock,
        fleetClock,
        log,
        hostId,
        mirror,
        endpoints,
        history,
        listHosts: listVersionHosts,
    });
    endpoints.onChanged(() => streamVersions.recordVersions(endpoints.versions()));
    const recordRefusal = (endpoint: EndpointProcess): void => {
        if (runs.recordRefusal(endpoint, storeConfirmedMs(), clock.monotonicMs())) {
            log.write(requestEvents.endpointRunUnknown, { endpoint: endpoint.endpointId });
            exchange.announce();
        }
    };
    const own = { clock, fleetClock, log, store, mirror, hostId, incarnation, decoder: environment.decoder };
    const rollouts = createRollouts({ ...own, promises, configuration, endpoints, loads, draw });
    const context: RequestContext = {
        rollouts: rollouts.split,
        recordRefusal,
        clock,
        fleetClock,
        log,
        dialect: environment.dialect,
        homeDomain: failureDomain,
        configuration,
        endpoints,
        connections,
        answerMemory: new AnswerMemory({
            totalBytes: callerLimits.memory.answerBytes,
            endpointBytes: callerLimits.memory.endpointAnswerBytes,
        }),
        loads,
        promptCaches,
        health,
        crashes: new CrashMonitor({
            clock,
            log,
            metrics,
            endpoints,
            quarantine,
            probe: address => probeAddress(clock, address),
            recordRefusal,
        }),
        quarantine,
        limits,
        notices,
        paces,
        rooms,
        runs,
        storeConfirmedMs,
        streamVersions,
        announce: () => exchange.announce(),
        quota,
        retryBudget: createWindowedRetryBudget({
            windowMs: promises.repeatWindowSeconds * 1_000,
            ratio: promises.repeatRatio,
            extra: promises.repeatExtra,
            nowMs,
        }),
        usage,
        timings: createServiceTimings(),
        demand,
        callerWork,
        streamPauseMs: streamPauseShare * promises.eventDelayMs,
        metrics,
        reach: () => exchange.reach(),
        isRefusing: () => lifecycle.isRefusing,
        stopLeftMs: () => lifecycle.stopLeftMs(),
    };
    const pipeline = new RequestPipeline(context);
    const gate = createArrivalGate(context, settings, draw);
    const server = new IngressServer({
        clock,
        address: settings.host.callerAddress,
        configuration,
        pipeline,
        gate,
        limits: callerLimits,
    });
    const lead = new DutyLease({
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
    mirror.onEra(era => {
        registration.recordEra(era);
        lead.recordEra(era);
    });
    const lifecycle = new IngressLifecycle(kernel, {
        registration,
        lead,
        server,
        stopLimitMs: promises.stopLimitSeconds * 1_000,
        directoryKeepMs: promises.directoryKeepSeconds * 1_000,
        endRequests: () => pipeline.endAll(),
    });
    const view: HostView = {
        directory: new HostDirectory({
            clock,
            serving,
            hostId,
            ownAddress: () => lifecycle.isStopping ? undefined : settings.host.callerAddress,
        }),
        metrics,
        isReady: () => configuration.current() !== undefined && !lifecycle.isStopping,
        directoryKeepMs: promises.directoryKeepSeconds * 1_000,
        reachableHosts: () => exchange.reach().reachableHosts,
        servingHosts: () => serving.serving.length,
    };
    kernel.register("mirror", mirror);
    kernel.register("peers", peers);
    kernel.register("storeNews", storeSync);
    kernel.register("streamVersions", streamVersions);
    kernel.register("originArchive", originArchive);
    kernel.register("versionRecorder", versionRecorder);
    kernel.register("exchange", exchange);
    kernel.register("rollouts", rollouts.split);
    kernel.register("callers", server);
    kernel.register("registration", registration);
    registerControl(kernel, clock, settings, environment, view, callerLimits);
    const duties = environment.createDuties((kind, result) => metrics.recordDutyCall(kind, result));
    if (duties !== undefined && settings.duties !== undefined) {
        const common = { clock, log, lead, duties };
        kernel.register("lead", lead);
        kernel.register("rolloutDuty", rollouts.createDuty(lead));
        if (settings.duties.usage) {
            const { usageWindowSeconds, usageDueSeconds } = promises;
            const windows = { windowMs: usageWindowSeconds * 1_000, dueMs: usageDueSeconds * 1_000 };
            kernel.register("usageDuty", new UsageReporter({ ...common, ...windows, store, mirror, usage, finals, fleetClock }));
        }
        if (settings.duties.scaling) {
            const isRollingOut = (service: string): boolean => rollouts.split.isInProgress(service);
            kernel.register("scalingDuty", new EndpointScaler({ ...common, configuration, endpoints, demand, isRollingOut }));
        }
    }
    kernel.register("lifecycle", lifecycle);
    return kernel;
}
