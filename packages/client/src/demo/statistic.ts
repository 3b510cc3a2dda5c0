import { build } from "hdr-histogram-js";
import type { Percentiles, RequestRecord, RunResult } from "./record.js";

// Histograms hold whole numbers, so milliseconds are kept as microseconds.
const unitsPerMs = 1_000;
const highestMs = 3_600_000;

/** Computes the percentiles of durations in milliseconds; all zero when there is none. */
export function summarise(durationsMs: Iterable<number>): Percentiles {
    const histogram = build({
        highestTrackableValue: highestMs * unitsPerMs,
        numberOfSignificantValueDigits: 3,
        useWebAssembly: false,
    });
    for (const durationMs of durationsMs) {
        histogram.recordValue(Math.min(highestMs, Math.max(0, durationMs)) * unitsPerMs);
    }
    if (histogram.totalCount === 0) {
        return { count: 0, p50: 0, p95: 0, p99: 0, maximum: 0 };
    }
    const at = (percentile: number): number => Math.round(histogram.getValueAtPercentile(percentile)) / unitsPerMs;
    return { count: histogram.totalCount, p50: at(50), p95: at(95), p99: at(99), maximum: histogram.maxValue / unitsPerMs };
}

/** Counts requests by kind and outcome. */
export function countOutcomes(requests: readonly RequestRecord[]): RunResult["outcomes"] {
    const counts = new Map<string, { kind: string; outcome: string; count: number; }>();
    for (const { kind, outcome } of requests) {
        const entry = counts.get(`${kind} ${outcome}`) ?? { kind, outcome, count: 0 };
        entry.count += 1;
        counts.set(`${kind} ${outcome}`, entry);
    }
    return [...counts.values()].sort((left, right) =>
        left.kind.localeCompare(right.kind) || left.outcome.localeCompare(right.outcome)
    );
}

/** Counts how many keys ran how often. */
export function countExecutions(byKey: ReadonlyMap<string, number>, keys: Iterable<string>): RunResult["executions"] {
    const counts = new Map<number, number>();
    for (const key of keys) {
        const executions = byKey.get(key) ?? 0;
        counts.set(executions, (counts.get(executions) ?? 0) + 1);
    }
    return [...counts].sort(([left], [right]) => left - right).map(([executions, count]) => ({ executions, keys: count }));
}
