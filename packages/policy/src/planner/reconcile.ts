import { scheduleLoads } from "./loading.js";
import type { HostOffer, Placement } from "./placement.js";
import { nameOffer } from "./placement.js";

/** An engine host as listed by the cloud API. */
export interface ObservedHost {
    readonly hostId: string;
    readonly failureDomain: string;
    readonly hostClass: string;
    readonly purchase: HostOffer["purchase"];
    /** False while the host is being reclaimed. */
    readonly isRetained: boolean;
}

/** The model state of an engine; `loading` is true while it loads a model. */
export interface ObservedEngine {
    readonly endpointId: string;
    readonly model: string;
    readonly modelVersion: string;
    readonly adapters: readonly string[];
    readonly loading: boolean;
}

/** The desired state of all engines of a model. */
export interface WantedModel {
    readonly name: string;
    readonly version: string;
    readonly adapters: readonly string[];
    readonly weightBytes: number;
}

/** A host to start. */
export interface WantedStart {
    readonly offer: HostOffer;
}

/** An order for an engine to load the desired model. */
export interface WantedOrder {
    readonly endpointId: string;
    readonly model: WantedModel;
}

/** The hosts to start for a placement, cheapest first; running hosts outside of the placement count towards its total. */
export function planStarts(placement: Placement, hosts: readonly ObservedHost[]): readonly WantedStart[] {
    const retained = hosts.filter(host => host.isRetained);
    const running = new Map<string, number>();
    for (const host of retained) {
        const name = `${host.failureDomain}/${host.hostClass}/${host.purchase}`;
        running.set(name, (running.get(name) ?? 0) + 1);
    }
    const wantedHosts = placement.placed.reduce((sum, entry) => sum + entry.hosts, 0);
    const missing = Math.max(0, wantedHosts - retained.length);
    return placement.placed
        .flatMap(({ offer, hosts: wanted }) =>
            Array.from({ length: Math.max(0, wanted - (running.get(nameOffer(offer)) ?? 0)) }, () => ({ offer }))
        )
        .slice(0, missing);
}

/** Options of `planOrders`. */
export interface OrderOptions {
    readonly storeBytesPerSecond: number;
    readonly hostBytesPerSecond: number;
    /** Fraction of a model's engines that may load at the same time while the others serve requests; at least one engine. */
    readonly maximumLoadingRatio: number;
}

/** Orders for the engines that may start loading now, within the weight store's rate and `maximumLoadingRatio`. */
export function planOrders(
    engines: readonly ObservedEngine[],
    model: WantedModel,
    options: OrderOptions,
): readonly WantedOrder[] {
    const outdated = engines.filter(engine => !engine.loading && !isUpToDate(engine, model));
    const loading = engines.filter(engine => engine.loading).length;
    const limit = Math.max(1, Math.floor(engines.length * options.maximumLoadingRatio)) - loading;
    const schedule = scheduleLoads(
        outdated.map(engine => ({ hostId: engine.endpointId, weightBytes: model.weightBytes, priority: 0 })),
        { storeBytesPerSecond: options.storeBytesPerSecond, hostBytesPerSecond: options.hostBytesPerSecond, nowMs: 0 },
    );
    return schedule
        .filter(load => load.startMs === 0)
        .slice(0, Math.max(0, limit))
        .map(load => ({ endpointId: load.hostId, model }));
}

function isUpToDate(engine: ObservedEngine, model: WantedModel): boolean {
    return engine.model === model.name && engine.modelVersion === model.version &&
        [...engine.adapters].sort().join() === [...model.adapters].sort().join();
}
