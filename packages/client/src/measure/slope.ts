/** A straight line through measured points: `cost = base + perUnit * size`. */
export interface Slope {
    readonly base: number;
    readonly perUnit: number;
}

/** One measured point. */
export interface Point {
    readonly size: number;
    readonly cost: number;
}

/** Fits a line by least squares. */
export function fitSlope(points: readonly Point[]): Slope {
    const count = points.length;
    const meanSize = points.reduce((sum, point) => sum + point.size, 0) / count;
    const meanCost = points.reduce((sum, point) => sum + point.cost, 0) / count;
    const covariance = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.cost - meanCost), 0);
    const variance = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0);
    const perUnit = variance === 0 ? 0 : covariance / variance;
    return { base: meanCost - perUnit * meanSize, perUnit };
}

/** The cost at a size on the line. */
export function costAt(slope: Slope, size: number): number {
    return slope.base + slope.perUnit * size;
}

const warmUpRounds = 200;

/** Processor microseconds per call, after a warm-up. */
export function timeCall(rounds: number, call: (round: number) => void): number {
    for (let round = 0; round < warmUpRounds; round++) {
        call(round);
    }
    const before = process.cpuUsage();
    for (let round = 0; round < rounds; round++) {
        call(round);
    }
    const used = process.cpuUsage(before);
    return (used.user + used.system) / rounds;
}

/** Bytes of heap that the built value keeps, per unit of size. */
export function measureHeap(size: number, build: (size: number) => unknown): number {
    const collect = globalThis.gc;
    if (collect === undefined) {
        throw new Error("The measurement needs 'node --expose-gc'.");
    }
    collect();
    const before = process.memoryUsage().heapUsed;
    const kept = build(size);
    collect();
    const used = process.memoryUsage().heapUsed - before;
    return kept === undefined ? 0 : used / size;
}
