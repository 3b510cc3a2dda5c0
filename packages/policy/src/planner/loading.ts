/** Model weights that a host has to load. */
export interface WeightLoad {
    readonly hostId: string;
    readonly weightBytes: number;
    /** Loads with a smaller number start first; ties keep the given order. */
    readonly priority: number;
}

/** Start and end of a load. */
export interface ScheduledLoad {
    readonly hostId: string;
    readonly startMs: number;
    readonly endMs: number;
}

/** Options of `scheduleLoads`. */
export interface LoadScheduleOptions {
    /** Total rate of the weight store. */
    readonly storeBytesPerSecond: number;
    /** Maximum rate of one host. */
    readonly hostBytesPerSecond: number;
    /** Earliest start of a load. */
    readonly nowMs: number;
}

/**
 * Staggers loads so that those in progress never exceed the weight store's rate. Each load gets its host's full rate, since
 * loading one after the other makes the first engines ready sooner than loading all at once at a lower rate.
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
