import type { EndpointId, FailureDomainId, VirtualClock } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import type { RoutingEndpoint } from "@filbertrelay/policy";
import { EmulatedEngine } from "../engine/engine.js";
import type { EngineOptions } from "../engine/engine.js";
import type { EngineCacheEvent, EngineLoadReport } from "../engine/history.js";

/** An engine of the emulated fleet. */
export interface FleetEngine extends RoutingEndpoint {
    readonly engine: EmulatedEngine;
}

/** Receives what engines report. */
export interface FleetObserver {
    /** The engine does not answer. */
    recordUnreachable?(endpointId: EndpointId): void;
    recordReport(endpointId: EndpointId, report: EngineLoadReport): void;
    applyCacheEvents(endpointId: EndpointId, events: readonly EngineCacheEvent[]): void;
}

/** Options of `createFleet`. */
export interface FleetOptions {
    readonly clock: VirtualClock;
    readonly engines: number;
    readonly failureDomains: readonly string[];
    readonly engineOptions?: Omit<EngineOptions, "clock">;
}

/** Creates engines that are spread evenly over the failure domains. */
export function createFleet(options: FleetOptions): readonly FleetEngine[] {
    return Array.from({ length: options.engines }).map((...[, index]) => ({
        endpointId: brandAs<EndpointId>(`engine-${String(index + 1).padStart(2, "0")}`),
        failureDomain: brandAs<FailureDomainId>(options.failureDomains[index % options.failureDomains.length] ?? ""),
        engine: new EmulatedEngine({ ...options.engineOptions, clock: options.clock }),
    }));
}

/** Reads reports and cache events of all engines for one observer at a fixed interval, starting after a phase. */
export function observeFleet(
    fleet: readonly FleetEngine[],
    observer: FleetObserver,
    options: { readonly clock: VirtualClock; readonly intervalMs: number; readonly phaseMs: number; },
): { readonly readNow: () => void; readonly stop: () => void; } {
    const sequences = new Map<EndpointId, number>();
    let stopped = false;
    const readNow = (): void => {
        for (const { endpointId, engine } of fleet) {
            if (engine.state === "down") {
                observer.recordUnreachable?.(endpointId);
                continue;
            }
            observer.recordReport(endpointId, engine.load());
            const events = engine.cacheEvents(sequences.get(endpointId) ?? 0);
            sequences.set(endpointId, events.at(-1)?.sequence ?? sequences.get(endpointId) ?? 0);
            observer.applyCacheEvents(endpointId, events);
        }
    };
    const repeat = (): void => {
        if (!stopped) {
            readNow();
            options.clock.after(options.intervalMs, repeat);
        }
    };
    options.clock.after(options.phaseMs, repeat);
    return { readNow, stop: () => void (stopped = true) };
}
