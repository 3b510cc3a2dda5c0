import { brandAs, createKernel } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, Kernel } from "@filbertrelay/kernel";
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
} from "@filbertrelay/policy/ingress";
import { createPeerNetwork } from "@filbertrelay/wire";
import { connect } from "node:net";
import { createCallerLimits } from "./caller/limits.js";
import { IngressServer } from "./caller/server.js";
import type { EndpointRecord } from "./contract.js";
import type { HostView } from "./control/hostview.js";
import { registerControl } from "./control/registration.js";
import { chooseContendDelay } from "./duty/contention.js";
import { EndpointScaler } from "./duty/endpointscaler.js";
import { DutyLease, readDutyHolder } from "./duty/lease.js";
import { UsageReporter } from "./duty/usagereporter.js";
import { probeAddress } from "./endpoint/reachability.js";
import type { IngressDaemonOptions } from "./environment.js";
import { HostDirectory } from "./fleet/directory.js";
import { PeerExchange } from "./fleet/exchange.js";
import { SharedFindings } from "./fleet/findings.js";
import { HostTable } from "./fleet/hosts.js";
import { createIncarnation } from "./fleet/incarnation.js";
import { Registration } from "./fleet/registration.js";
import { StoreSync } from "./fleet/storesync.js";
import { createVersionServices } from "./fleet/versions.js";
import { IngressLifecycle } from "./lifecycle.js";
import { createArrivalGate } from "./pressure/creategate.js";
import { createEndpointAccess } from "./relay/access.js";
import { createRelayLimits } from "./relay/room.js";
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
import { createStoreCallObserver } from "./state/storecalls.js";
import { IngressMetrics } from "./telemetry/metrics.js";

/** An entry is removed after three intervals without a report; the next process reports within one. */
const entryReplacedHeartbeats = 4;

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
    const { clock, log, draw, environment, openSocket = connect } = options;
    const { promises } = settings;
    const kernel = createKernel({ clock, log });
    const hostId = brandAs<HostId>(settings.host.id);
    const failureDomain = brandAs<FailureDomainId>(settings.host.failureDomain);
    const incarnation = createIncarnation(clock.now(), draw);
    const nowMs = clock.monotonicMs();

    const metrics = new IngressMetrics();
    const callerLimits = createCallerLimits(settings, { clock, log, metrics });
    const store = environment.createStore(createStoreCallObserver({ log, metrics }));
    const applyMs = Math.min(promises.endpointLeaveMs, promises.configurationApplyMs);
    const mirror = new StoreMirror({
        store,
        clock,
        log,
        draw,
        applyMs,
        ownedPrefixes: createOwnedPrefixes(environment.decoder, promises.endpointHeartbeatMs),
        newestOnlyPrefixes: [environment.decoder.configurationPrefix],
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
    const peers = createPeerNetwork({
        clock,
        log,
        hostId,
        listenAddress: settings.host.peerAddress,
        keys: settings.cluster.keys,
        frameBytes: peerFrameBytes,
        heartbeatMs: peerHeartbeatMs,
    });
    metrics.observePeerTraffic(() => peers.traffic());
    const quarantine = createQuarantine({
        isTrialHost: cause => rankByRendezvous(cause, exchange.listReachable(), id => id)[0] === hostId,
        onChange: (cause, change) => {
            log.write(change === "quarantined" ? requestEvents.causeQuarantined : requestEvents.causeReleased, { cause });
            metrics.setQuarantinedCauses(quarantine.quarantined().length);
            exchange.announce();
        },
    });
    const answerMemory = new AnswerMemory({
        totalBytes: callerLimits.memory.answerBytes,
        endpointBytes: callerLimits.memory.endpointAnswerBytes,
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
    const access = createEndpointAccess({
        clock,
        log,
        metrics,
        dialect: environment.dialect,
        hostId,
        homeDomain: failureDomain,
        peers,
        hosts,
        endpoints,
        limits,
        rooms,
        notices,
        answerMemory,
        relayLimits: createRelayLimits(callerLimits.memory),
        openSocket,
        findStatusPath: endpoint => environment.dialect.statusPath(endpoint) ?? configuration.statusPath(endpoint.service),
        callerWork,
        exchange: () => exchange,
        isRefusing: () => lifecycle.isRefusing,
        recordRefusal: endpoint => recordRefusal(endpoint),
        onCheck: () => pipeline.leaveCutLinks(),
    });
    const findings = new SharedFindings({ quarantine, limits, runs, paces, rooms, reach: access.reach, finals });
    metrics.observeReports(() => findings.countEntries());
    const exchange = new PeerExchange({
        clock,
        log,
        hostId,
        incarnation,
        peers,
        hosts,
        counts: { quota, usage, loads, demand, callerWork },
        fleetClock,
        findings,
        onAnnounced: () => metrics.recordAnnouncement(),
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
            aggregates: true,
        },
        countHosts: () => mirror.revision > 0 ? hosts.size : undefined,
        writesPerSecond: settings.store.writesPerSecond,
        draw,
    });
    endpoints.onEnded(endpointId => {
        access.connections.forget(endpointId);
        access.reach.forget(endpointId);
        health.forget(endpointId);
        limits.forget(endpointId);
        notices.forget(endpointId);
        paces.forget(endpointId);
        promptCaches.forget(endpointId);
    });
    const { streamVersions, originArchive, versionRecorder } = createVersionServices({
        store,
        clock,
        fleetClock,
        log,
        hostId,
        incarnation,
        peers,
        mirror,
        endpoints,
        hosts,
        exchange,
    });
    const recordRefusal = (endpoint: EndpointRecord): void =>
        access.monitor.whenConfirmed(endpoint, () => {
            if (runs.recordRefusal(endpoint, storeConfirmedMs(), clock.monotonicMs())) {
                log.write(requestEvents.endpointRunUnknown, { endpoint: endpoint.endpointId });
                exchange.announce();
            }
        });
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
        endpointReach: access.reach,
        links: access.links,
        router: access.router,
        linkMonitor: access.monitor,
        answerMemory,
        loads,
        promptCaches,
        health,
        crashes: new CrashMonitor({
            clock,
            log,
            metrics,
            endpoints,
            quarantine,
            probe: address => probeAddress(clock, address, openSocket),
            confirmFailure: endpoint => access.monitor.confirmFailure(endpoint),
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
        relayed: () => access.relay.inProgress,
        endRequests: () => pipeline.endAll(),
    });
    const view: HostView = {
        directory: new HostDirectory({
            clock,
            serving,
            strandedHosts: () => access.strandedHosts(),
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
    kernel.register("relay", access.relay);
    kernel.register("links", access.monitor);
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
