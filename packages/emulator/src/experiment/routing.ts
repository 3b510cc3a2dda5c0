import type { RoutingOptions } from "@filbertrelay/policy";
import { replay } from "../replay/replay.js";
import type { ReplayOptions, ReplayResult } from "../replay/replay.js";
import { prepareRequests, scheduleArrivals } from "../replay/request.js";
import type { ReplayRequest } from "../replay/request.js";
import { createLeastLoadRouter, createPolicyRouter, createRoundRobinRouter } from "../replay/router.js";
import { percentile } from "../table.js";
import { locateTrace, readTrace } from "../trace/trace.js";
import type { TraceHeader } from "../trace/trace.js";

/** Lag of load reports and cache events at entry hosts. */
export const reportLagMs = 1000;

/** Part of the cache events that are lost. */
export const eventLoss = 0.01;

/** Part of the requests at the start that fill the caches and aren't counted. */
const warmUpShare = 0.2;

/** A trace that is ready for replay, with the capacity of its fleet. */
export interface PreparedDeployment {
    readonly header: TraceHeader;
    readonly requests: readonly ReplayRequest[];
    /** Requests per second that the fleet completes when it is always full, under the oracle's routing. */
    readonly capacity: number;
}

/** One row of the comparison. */
export interface RoutingMeasurement {
    readonly deployment: string;
    readonly load: number;
    readonly strategy: string;
    readonly computedTokens: number;
    /** Computed tokens that some engine had computed before. */
    readonly recomputedTokens: number;
    readonly firstTokenMs: { readonly p50: number; readonly p95: number; readonly p99: number; };
    /** Busy engine seconds per 1,000 requests. */
    readonly engineSeconds: number;
}

/** The strategies that are compared. */
export const routingStrategies = ["roundRobin", "leastReported", "leastWithOwn", "policy", "oracle"] as const;

/** The name of a compared strategy. */
export type RoutingStrategy = typeof routingStrategies[number];

/** Reads a committed trace and measures its fleet's capacity. */
export function prepareDeployment(deployment: string, purpose: TraceHeader["purpose"], seed: number): PreparedDeployment {
    const { header, entries } = readTrace(locateTrace(deployment, purpose));
    const requests = prepareRequests({ header, entries });
    const arrivals = scheduleArrivals(requests, { requestsPerSecond: 1, hosts: 1, seed });
    const closedLoop = header.engines * 24;
    const result = replay({ ...selectStrategy("oracle", header), arrivals, closedLoop, seed });
    const finished = result.records.map(record => record.finishedMs ?? 0).sort((left, right) => left - right);
    const [first, last] = [Math.floor(finished.length * warmUpShare), Math.floor(finished.length * 0.9)];
    const capacity = 1000 * (last - first) / ((finished[last] ?? 0) - (finished[first] ?? 0));
    return { header, requests, capacity };
}

/** Replays a deployment at a part of its capacity with one strategy. */
export function measureRouting(
    prepared: PreparedDeployment,
    load: number,
    strategy: RoutingStrategy,
    seed: number,
    overrides: Partial<RoutingOptions> = {},
): RoutingMeasurement {
    const { header, requests, capacity } = prepared;
    const setup = selectStrategy(strategy, header, overrides);
    const arrivals = scheduleArrivals(requests, { requestsPerSecond: load * capacity, hosts: setup.hosts, seed });
    const result = replay({ ...setup, arrivals, seed });
    return summarize(header.deployment, load, strategy, result);
}

function selectStrategy(
    strategy: RoutingStrategy,
    header: TraceHeader,
    overrides: Partial<RoutingOptions> = {},
): Omit<ReplayOptions, "arrivals" | "seed"> {
    const { engines, failureDomains, weights } = header;
    const exact = { cacheBlocks: header.engineCacheBlocks };
    const late = { ...exact, reportLagMs, eventLagMs: reportLagMs, eventLoss };
    const base = { engines, failureDomains, hosts: header.entryHosts, engineOptions: late };
    const options: RoutingOptions = { weights, ...overrides };
    // With exact knowledge a narrow range of near-best ones gives the fewest copies.
    const oracleOptions = { ...options, nearBestComputeShare: 0.5 };
    switch (strategy) {
        case "roundRobin":
            return { ...base, router: createRoundRobinRouter() };
        case "leastReported":
            return { ...base, router: createLeastLoadRouter({ countOwn: false }) };
        case "leastWithOwn":
            return { ...base, router: createLeastLoadRouter({ countOwn: true }) };
        case "policy":
            return { ...base, router: createPolicyRouter(options) };
        case "oracle":
            return { ...base, hosts: 1, engineOptions: exact, readAlways: true, router: createPolicyRouter(oracleOptions) };
    }
}

function summarize(deployment: string, load: number, strategy: string, result: ReplayResult): RoutingMeasurement {
    const counted = result.records.slice(Math.floor(result.records.length * warmUpShare));
    const waits = counted.map(record => (record.firstTokenMs ?? Infinity) - record.arrivedMs);
    const computedTokens = counted.reduce((sum, record) => sum + record.computedTokens, 0);
    const newTokens = counted.reduce((sum, record) => sum + record.newTokens, 0);
    return {
        deployment,
        load,
        strategy,
        computedTokens,
        recomputedTokens: computedTokens - newTokens,
        firstTokenMs: { p50: percentile(waits, 0.5), p95: percentile(waits, 0.95), p99: percentile(waits, 0.99) },
        engineSeconds: result.busyMs / result.records.length,
    };
}
