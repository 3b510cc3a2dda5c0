import { scheduleLoads } from "./loading.js";
import type { HostOffer, Placement } from "./placement.js";
import { nameOffer } from "./placement.js";

/** An engine's host as the cloud API lists it. */
export interface ObservedHost {
    readonly hostId: string;
    readonly failureDomain: string;
    readonly hostClass: string;
    readonly purchase: HostOffer["purchase"];
    /** False while the host is being reclaimed. */
    readonly isStaying: boolean;
}

/** What an engine has loaded; `loading` is true while it loads. */
export interface ObservedEngine {
    readonly endpointId: string;
    readonly model: string;
    readonly modelVersion: string;
    readonly adapters: readonly string[];
    readonly loading: boolean;
}

/** The end state that every engine of a model is to reach. */
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

/** Engines that are told to load the wanted model now. */
export interface WantedOrder {
    readonly endpointId: string;
    readonly model: WantedModel;
}

/** The hosts missing from a placement, cheapest first; hosts that run in other places count towards the total. */
export function planStarts(placement: Placement, hosts: readonly ObservedHost[]): readonly WantedStart[] {
    const staying = hosts.filter(host => host.isStaying);
    const running = new Map<string, number>();
    for (const host of staying) {
        const name = `${host.failureDomain}/${host.hostClass}/${host.purchase}`;
        running.set(name, (running.get(name) ?? 0) + 1);
    }
    const wantedHosts = placement.placed.reduce((sum, entry) => sum + entry.hosts, 0);
    const missing = Math.max(0, wantedHosts - staying.length);
    return placement.placed
        .flatMap(({ offer, hosts: wanted }) =>
            Array.from({ length: Math.max(0, wanted - (running.get(nameOffer(offer)) ?? 0)) }, () => ({ offer }))
        )
        .slice(0, missing);
}

/** Rates in bytes per second. */
export interface OrderOptions {
    readonly storeBytesPerSecond: number;
    readonly hostBytesPerSecond: number;
    /** Part of a model's engines that may load at the same time, so that the others carry the load; at least one engine. */
    readonly maximumLoadingRatio: number;
}

/** The engines that may start to load now: within the weight store's rate, and never most of a model's engines at once. */
export function planOrders(
    engines: readonly ObservedEngine[],
    model: WantedModel,
    options: OrderOptions,
): readonly WantedOrder[] {
    const outdated = engines.filter(engine => !engine.loading && !isReached(engine, model));
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

function isReached(engine: ObservedEngine, model: WantedModel): boolean {
    return engine.model === model.name && engine.modelVersion === model.version &&
        [...engine.adapters].sort().join() === [...model.adapters].sort().join();
}
