/** Weights that a host has to load. */
export interface WeightLoad {
    readonly hostId: string;
    readonly weightBytes: number;
    /** Smaller loads first; ties keep the given order. */
    readonly priority: number;
}

/** When a load starts and ends. */
export interface ScheduledLoad {
    readonly hostId: string;
    readonly startMs: number;
    readonly endMs: number;
}

/** Options of `scheduleLoads`. */
export interface LoadScheduleOptions {
    /** Rate of the weight store over all loads together. */
    readonly storeBytesPerSecond: number;
    /** Rate at which one host can load. */
    readonly hostBytesPerSecond: number;
    /** Time from which loads may start. */
    readonly nowMs: number;
}

/**
 * Staggers loads so that those in progress never ask for more than the weight store's rate. Each load keeps its host's
 * full rate: one after the other gives the first engines sooner than all at once at a part of the rate.
 */
export function scheduleLoads(loads: readonly WeightLoad[], options: LoadScheduleOptions): readonly ScheduledLoad[] {
    const hostRate = Math.min(options.hostBytesPerSecond, options.storeBytesPerSecond);
    const lanes = new Array<number>(Math.max(1, Math.floor(options.storeBytesPerSecond / hostRate))).fill(options.nowMs);
    const ordered = [...loads].sort((left, right) => left.priority - right.priority);
    return ordered.map(load => {
        const lane = lanes.indexOf(Math.min(...lanes));
        const startMs = lanes[lane] ?? options.nowMs;
        const endMs = startMs + 1000 * load.weightBytes / hostRate;
        lanes[lane] = endMs;
        return { hostId: load.hostId, startMs, endMs };
    });
}
