import type { RoutingOptions } from "@filbertrelay/policy";
import { replay } from "../replay/replay.js";
import type { ReplayOptions, ReplayResult } from "../replay/replay.js";
import { prepareRequests, scheduleArrivals } from "../replay/request.js";
import type { ReplayRequest } from "../replay/request.js";
import { createLeastLoadRouter, createPolicyRouter, createRoundRobinRouter } from "../replay/router.js";
import { formatTable, percentile } from "../table.js";
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
            return { ...base, router: createPolicyRouter({ ...options, dispatchWeight: (header.entryHosts + 1) / 2 }) };
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

/** Compares all strategies on the committed traces and renders one table per deployment. */
export function runRouting(purpose: TraceHeader["purpose"], seed: number): string {
    return ["chaulage", "salal"].map(deployment => renderDeployment(deployment, purpose, seed)).join("\n\n");
}

function renderDeployment(deployment: string, purpose: TraceHeader["purpose"], seed: number): string {
    const prepared = prepareDeployment(deployment, purpose, seed);
    const { header, requests, capacity } = prepared;
    const title = `${deployment}: ${requests.length} requests, ${header.engines} engines, ${header.entryHosts} entry hosts, ` +
        `capacity ${capacity.toFixed(1)} requests/s, weights latency ${header.weights.latency}, cost ${header.weights.cost}`;
    const heading = [
        "load",
        "strategy",
        "computed prompt tokens",
        "ratio to oracle",
        "recomputed tokens",
        "ratio to oracle",
        "first token p50 ms",
        "p95 ms",
        "p99 ms",
        "engine s per 1,000",
    ];
    const rows = [0.7, 0.9].flatMap(load => {
        const measured = routingStrategies.map(strategy => averageSeeds(prepared, load, strategy, seed));
        const oracle = measured.at(-1);
        return measured.map(entry => [
            `${Math.round(load * 100)}%`,
            entry.strategy,
            entry.computedTokens,
            entry.computedTokens / (oracle?.computedTokens ?? 1),
            entry.recomputedTokens,
            entry.recomputedTokens / (oracle?.recomputedTokens ?? 1),
            entry.firstTokenMs.p50,
            entry.firstTokenMs.p95,
            entry.firstTokenMs.p99,
            entry.engineSeconds,
        ]);
    });
    return `${title}\n\n${formatTable([heading, ...rows])}`;
}

/** Arrival seeds per row; a few documents more or less change the recomputed tokens of one run by a tenth. */
const arrivalSeeds = 3;

/** Means over several arrival seeds on the same trace. */
export function averageSeeds(
    prepared: PreparedDeployment,
    load: number,
    strategy: RoutingStrategy,
    seed: number,
): RoutingMeasurement {
    const runs = Array.from({ length: arrivalSeeds }).map((...[, index]) =>
        measureRouting(prepared, load, strategy, seed + index)
    );
    const mean = (read: (run: RoutingMeasurement) => number): number =>
        runs.reduce((sum, run) => sum + read(run), 0) / runs.length;
    return {
        deployment: prepared.header.deployment,
        load,
        strategy,
        computedTokens: mean(run => run.computedTokens),
        recomputedTokens: mean(run => run.recomputedTokens),
        firstTokenMs: {
            p50: mean(run => run.firstTokenMs.p50),
            p95: mean(run => run.firstTokenMs.p95),
            p99: mean(run => run.firstTokenMs.p99),
        },
        engineSeconds: mean(run => run.engineSeconds),
    };
}
