import type { CustomerId } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import { prepareRequests, scheduleArrivals } from "../replay/request.js";
import type { Arrival, ReplayRequest } from "../replay/request.js";
import { createPolicyRouter } from "../replay/router.js";
import { listCustomers, runService } from "../replay/service.js";
import type { ServiceOptions, ServiceRecord } from "../replay/service.js";
import { formatTable, percentile } from "../table.js";
import { locateTrace, readTrace } from "../trace/trace.js";
import type { TraceHeader } from "../trace/trace.js";
import { eventLoss, prepareDeployment, reportLagMs } from "./routing.js";
import type { PreparedDeployment } from "./routing.js";

/** Length of one run; the first third fills queues and caches and is not counted. */
const runMs = 90_000;
const warmUpMs = 30_000;

/** One row of the goodput table. */
export interface GoodputMeasurement {
    readonly load: number;
    readonly admission: boolean;
    /** Answers per second that were completed in the window and whose first token came within the deadline. */
    readonly goodput: number;
    /** Prompt and answer tokens of these answers per second. */
    readonly tokenGoodput: number;
    readonly refusedShare: number;
    readonly lateShare: number;
    readonly firstTokenP95Ms: number;
}

/** Measures the goodput at an offered load in multiples of the capacity. */
export function measureGoodput(prepared: PreparedDeployment, load: number, admission: boolean, seed: number): GoodputMeasurement {
    const records = runService({ ...setUp(prepared, seed), admission, arrivals: offerLoad(prepared, load, seed) });
    const counted = countWindow(records);
    const good = counted.filter(isGood);
    const accepted = counted.filter(record => record.outcome === "done");
    const waits = accepted.map(record => (record.firstTokenMs ?? Infinity) - record.arrivedMs);
    return {
        load,
        admission,
        goodput: countGoodput(records, () => 1),
        tokenGoodput: countGoodput(records, ({ request }) => request.prompt.promptTokens + request.answerTokens),
        refusedShare: counted.filter(record => record.outcome === "refused").length / counted.length,
        lateShare: (accepted.length - good.length) / counted.length,
        firstTokenP95Ms: percentile(waits, 0.95),
    };
}

/** Shares of customers beside one that sends far more than the capacity. */
export interface ShareMeasurement {
    readonly customer: string;
    readonly weight: number;
    readonly offeredPerSecond: number;
    readonly goodShare: number;
    /** Part of the batch-slot time of all customers. */
    readonly slotShare: number;
}

/** One large customer offers `largeLoad` times the capacity, the others their usual part of half the capacity. */
export function measureShares(
    prepared: PreparedDeployment,
    largeLoad: number,
    admission: boolean,
    seed: number,
): readonly ShareMeasurement[] {
    const large = prepared.header.customers[0]?.name ?? "";
    const others = offerLoad(prepared, 0.5, seed).filter(({ request }) => request.customer !== large);
    const flood = offerLoad(prepared, largeLoad, seed + 100).map(arrival => ({
        ...arrival,
        request: { ...arrival.request, id: `f-${arrival.request.id}`, customer: brandAs<CustomerId>(large) },
    }));
    const arrivals = [...others, ...(largeLoad > 0 ? flood : [])].sort((left, right) => left.atMs - right.atMs);
    const counted = countWindow(runService({ ...setUp(prepared, seed), admission, arrivals }));
    const totalMs = counted.reduce((sum, record) => sum + heldMs(record), 0);
    return prepared.header.customers.map(({ name, weight }) => {
        const own = counted.filter(({ request }) => request.customer === name);
        return {
            customer: name,
            weight,
            offeredPerSecond: 1000 * own.length / (runMs - warmUpMs),
            goodShare: own.filter(isGood).length / Math.max(1, own.length),
            slotShare: own.reduce((sum, record) => sum + heldMs(record), 0) / totalMs,
        };
    });
}

/** What retries add when a third of the engines fail at once. */
export interface RetryMeasurement {
    readonly budget: boolean;
    readonly repeated: boolean;
    readonly firstAttempts: number;
    readonly retries: number;
    /** Tokens computed by attempts that crashed, which retries compute again, against all others. */
    readonly lostTokenShare: number;
    readonly failed: number;
    readonly goodput: number;
}

/**
 * Crashes a third of the engines during a run at the given load, once and for good or every 5 s for 30 s; counts all attempts
 * of the minute that follows.
 */
export function measureRetries(
    prepared: PreparedDeployment,
    options: { readonly load: number; readonly budget: boolean; readonly repeated: boolean; readonly seed: number; },
): RetryMeasurement {
    const { load, budget, repeated, seed } = options;
    const once = { atMs: 30_000, engines: Math.floor(prepared.header.engines / 3) };
    const failure = repeated ? { ...once, repeatMs: 5000, untilMs: 60_000 } : once;
    const service = { ...setUp(prepared, seed), admission: true, failure, ...(budget ? { retryRatio: 0.1 } : {}) };
    const records = runService({ ...service, arrivals: offerLoad(prepared, load, seed) });
    const affected = records.filter(({ admittedMs, finishedMs }) =>
        admittedMs !== undefined && (finishedMs ?? 0) >= failure.atMs && admittedMs < runMs
    );
    // An attempt that was refused without running anything is no load.
    const retries = affected.reduce((sum, { attempts, refusals }) => sum + Math.max(0, attempts - refusals - 1), 0);
    const lostTokens = affected.reduce((sum, record) => sum + record.lostTokens, 0);
    const computedTokens = affected.reduce((sum, record) => sum + record.computedTokens, 0);
    return {
        budget,
        repeated,
        firstAttempts: affected.length,
        retries,
        lostTokenShare: lostTokens / (computedTokens - lostTokens),
        failed: records.filter(({ outcome }) => outcome === "failed").length,
        goodput: countGoodput(records, () => 1),
    };
}

/** Runs all parts on the committed trace and renders their tables. */
export function runAdmission(purpose: TraceHeader["purpose"], seed: number): string {
    return ["chaulage", "salal"].map(deployment => renderDeployment(prepareDeployment(deployment, purpose, seed), seed)).join(
        "\n\n",
    );
}

function renderDeployment(prepared: PreparedDeployment, seed: number): string {
    const goodput = [
        ...[1, 1.5, 2, 4].map(load => measureGoodput(prepared, load, true, seed)),
        ...[1, 4].map(load => measureGoodput(prepared, load, false, seed)),
    ];
    const base = goodput[0];
    const shares = [0, 4].flatMap(load => measureShares(prepared, load, true, seed).map(share => ({ load, ...share })));
    const retries = [false, true].flatMap(repeated =>
        [true, false].map(budget => measureRetries(prepared, { load: 0.9, budget, repeated, seed }))
    );
    return [
        `${prepared.header.deployment}: capacity ${prepared.capacity.toFixed(1)} requests/s`,
        formatTable([
            [
                "admission",
                "offered load",
                "goodput/s",
                "of goodput at 1",
                "tokens/s",
                "of tokens at 1",
                "refused",
                "late",
                "first token p95 ms",
            ],
            ...goodput.map(row => [
                row.admission ? "on" : "off",
                row.load,
                row.goodput,
                row.goodput / (base?.goodput ?? 1),
                row.tokenGoodput,
                row.tokenGoodput / (base?.tokenGoodput ?? 1),
                row.refusedShare,
                row.lateShare,
                row.firstTokenP95Ms,
            ]),
        ]),
        formatTable([
            ["load of the large customer", "customer", "weight", "offered/s", "good", "share of slots"],
            ...shares.map(row => [row.load, row.customer, row.weight, row.offeredPerSecond, row.goodShare, row.slotShare]),
        ]),
        formatTable([
            [
                "failure",
                "retry budget",
                "first attempts",
                "retries",
                "retries per attempt",
                "tokens computed twice",
                "failed",
                "goodput/s",
            ],
            ...retries.map(row => [
                row.repeated ? "every 5 s" : "once",
                row.budget ? "on" : "off",
                row.firstAttempts,
                row.retries,
                row.retries / row.firstAttempts,
                row.lostTokenShare,
                row.failed,
                row.goodput,
            ]),
        ]),
    ].join("\n\n");
}

function setUp({ header }: PreparedDeployment, seed: number): Omit<ServiceOptions, "arrivals" | "admission"> {
    const { engines, failureDomains, weights, entryHosts, engineCacheBlocks } = header;
    return {
        engines,
        failureDomains,
        hosts: entryHosts,
        engineOptions: { cacheBlocks: engineCacheBlocks, reportLagMs, eventLagMs: reportLagMs, eventLoss },
        router: createPolicyRouter({ weights, dispatchWeight: (entryHosts + 1) / 2 }),
        customers: listCustomers(header.customers),
        seed,
    };
}

/** Arrivals for the whole run at a multiple of the capacity; the trace is repeated with new documents as often as needed. */
function offerLoad(prepared: PreparedDeployment, load: number, seed: number): readonly Arrival[] {
    const requestsPerSecond = load * prepared.capacity;
    const needed = Math.ceil(requestsPerSecond * runMs / 1000);
    const trace = readTrace(locateTrace(prepared.header.deployment, prepared.header.purpose));
    let requests: readonly ReplayRequest[] = prepared.requests;
    for (let copy = 1; requests.length < needed; copy += 1) {
        requests = [...requests, ...prepareRequests(trace, copy)];
    }
    if (needed === 0) {
        return [];
    }
    return scheduleArrivals(requests.slice(0, needed), { requestsPerSecond, hosts: prepared.header.entryHosts, seed });
}

function countWindow(records: readonly ServiceRecord[]): readonly ServiceRecord[] {
    return records.filter(({ arrivedMs }) => arrivedMs >= warmUpMs && arrivedMs < runMs);
}

/** Sum per second over good answers that were completed within the window. */
function countGoodput(records: readonly ServiceRecord[], value: (record: ServiceRecord) => number): number {
    const good = records.filter(record =>
        isGood(record) && (record.finishedMs ?? 0) >= warmUpMs && (record.finishedMs ?? 0) < runMs
    );
    return 1000 * good.reduce((sum, record) => sum + value(record), 0) / (runMs - warmUpMs);
}

function isGood(record: ServiceRecord): boolean {
    return record.outcome === "done" && (record.firstTokenMs ?? Infinity) - record.arrivedMs <= record.request.deadlineMs;
}

function heldMs(record: ServiceRecord): number {
    return record.outcome === "done" ? (record.finishedMs ?? 0) - (record.admittedMs ?? 0) : 0;
}
