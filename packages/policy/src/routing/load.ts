import type { EndpointId } from "@filbertrelay/kernel";

/** A load report of an engine. */
export interface LoadReport {
    readonly reportedAt: Date;
    readonly runningRequests: number;
    readonly waitingRequests: number;
    /** Prompt tokens of waiting and running requests that have not been computed yet. */
    readonly waitingPromptTokens: number;
    /** Tokens that the engine computes per second in a full step. */
    readonly tokensPerSecond: number;
    readonly batchSlots: number;
}

/** One host's estimate of an endpoint's load: the latest report plus this host's dispatches since. */
export interface LoadEstimate {
    readonly requests: number;
    readonly waitingPromptTokens: number;
    readonly tokensPerSecond: number;
    readonly batchSlots: number;
    /** Mean time that a request occupies a batch slot, from this host's finished requests. */
    readonly slotHoldMs: number;
    /** Age of the report; `Infinity` without one. */
    readonly ageMs: number;
}

/** One host's view of the endpoints' load. */
export interface LoadTable {
    /** Stores a report unless a newer one is known. */
    recordReport(endpointId: EndpointId, report: LoadReport): void;
    /** Records a dispatch with the prompt tokens that the endpoint has to compute. */
    recordDispatch(endpointId: EndpointId, requestId: string, tokens: number, now: Date): void;
    /** Records that the prompt of a dispatch was computed. */
    recordFirstToken(endpointId: EndpointId, requestId: string, now: Date): void;
    /** Records the end of a dispatch, whether it succeeded or not. */
    recordFinish(endpointId: EndpointId, requestId: string, now: Date): void;
    estimate(endpointId: EndpointId, now: Date): LoadEstimate;
    forget(endpointId: EndpointId): void;
}

/** Options of `createLoadTable`. */
export interface LoadTableOptions {
    /** Tokens per second, assumed until an endpoint reports; 5000 by default. */
    readonly defaultTokensPerSecond?: number;
    /** Batch slots, assumed until an endpoint reports; 16 by default. */
    readonly defaultBatchSlots?: number;
    /** Time in a slot, assumed until a request has finished; 5 s by default. */
    readonly defaultSlotHoldMs?: number;
    /**
     * Number of requests that each of this host's dispatches since the report is counted as; 1 by default. Other hosts with the
     * same stale report send to the same endpoints at the same time, so a larger weight accounts for their dispatches too; half
     * the number of hosts that share the endpoints is a good value.
     */
    readonly dispatchWeight?: number | (() => number);
}

/** Creates an empty load table. */
export function createLoadTable(options: LoadTableOptions = {}): LoadTable {
    return new ReportedLoadTable({
        defaultTokensPerSecond: options.defaultTokensPerSecond ?? 5_000,
        defaultBatchSlots: options.defaultBatchSlots ?? 16,
        defaultSlotHoldMs: options.defaultSlotHoldMs ?? 5_000,
        dispatchWeight: options.dispatchWeight ?? 1,
    });
}

interface Dispatch {
    readonly sentMs: number;
    tokens: number;
    firstTokenMs?: number;
    finishedMs?: number;
}

interface EndpointLoad {
    report?: LoadReport;
    readonly dispatches: Map<string, Dispatch>;
}

/** Weight of a new observation in the mean time in a slot. */
const holdSmoothing = 0.1;

class ReportedLoadTable implements LoadTable {
    readonly #defaults: Required<LoadTableOptions>;
    readonly #endpoints = new Map<EndpointId, EndpointLoad>();
    #slotHoldMs: number;

    constructor(defaults: Required<LoadTableOptions>) {
        this.#defaults = defaults;
        this.#slotHoldMs = defaults.defaultSlotHoldMs;
    }

    recordReport(endpointId: EndpointId, report: LoadReport): void {
        const endpoint = this.#endpoint(endpointId);
        const knownMs = endpoint.report?.reportedAt.getTime() ?? -Infinity;
        if (report.reportedAt.getTime() < knownMs) {
            return;
        }
        endpoint.report = report;
        dropFinished(endpoint, report.reportedAt.getTime());
    }

    recordDispatch(endpointId: EndpointId, requestId: string, tokens: number, now: Date): void {
        this.#endpoint(endpointId).dispatches.set(requestId, { sentMs: now.getTime(), tokens });
    }

    recordFirstToken(endpointId: EndpointId, requestId: string, now: Date): void {
        const dispatch = this.#endpoints.get(endpointId)?.dispatches.get(requestId);
        if (dispatch !== undefined) {
            dispatch.firstTokenMs = now.getTime();
        }
    }

    recordFinish(endpointId: EndpointId, requestId: string, now: Date): void {
        const dispatch = this.#endpoints.get(endpointId)?.dispatches.get(requestId);
        if (dispatch === undefined) {
            return;
        }
        dispatch.finishedMs = now.getTime();
        if (dispatch.firstTokenMs !== undefined) {
            const heldMs = dispatch.finishedMs - dispatch.firstTokenMs;
            this.#slotHoldMs += holdSmoothing * (heldMs - this.#slotHoldMs);
        }
    }

    estimate(endpointId: EndpointId, now: Date): LoadEstimate {
        const endpoint = this.#endpoints.get(endpointId);
        const report = endpoint?.report;
        let requests = (report?.runningRequests ?? 0) + (report?.waitingRequests ?? 0);
        const reportedMs = report?.reportedAt.getTime() ?? -Infinity;
        // An engine that does not know its rate or batch size reports 0, which would make all estimated times infinite.
        const tokensPerSecond = positiveOr(report?.tokensPerSecond, this.#defaults.defaultTokensPerSecond);
        const backlog = new Backlog(report?.waitingPromptTokens ?? 0, reportedMs, tokensPerSecond);
        const { dispatchWeight } = this.#defaults;
        const weight = typeof dispatchWeight === "function" ? dispatchWeight() : dispatchWeight;
        for (const dispatch of endpoint?.dispatches.values() ?? []) {
            const change = changeSince(dispatch, reportedMs, weight);
            requests += change.requests;
            backlog.add(Math.max(dispatch.sentMs, reportedMs), change.tokens);
        }
        return {
            requests: Math.max(0, requests),
            waitingPromptTokens: backlog.at(now.getTime()),
            tokensPerSecond,
            batchSlots: positiveOr(report?.batchSlots, this.#defaults.defaultBatchSlots),
            slotHoldMs: this.#slotHoldMs,
            ageMs: now.getTime() - reportedMs,
        };
    }

    forget(endpointId: EndpointId): void {
        this.#endpoints.delete(endpointId);
    }

    #endpoint(endpointId: EndpointId): EndpointLoad {
        const known = this.#endpoints.get(endpointId);
        if (known !== undefined) {
            return known;
        }
        const created: EndpointLoad = { dispatches: new Map() };
        this.#endpoints.set(endpointId, created);
        return created;
    }
}

function positiveOr(value: number | undefined, fallback: number): number {
    return value !== undefined && value > 0 ? value : fallback;
}

/**
 * Prompt tokens waiting at an endpoint, extrapolated from the report at the endpoint's rate. The backlog changes within
 * fractions of a second; using a stale report as is would send requests away from cached prefixes to avoid a queue that no
 * longer exists.
 */
class Backlog {
    #tokens: number;
    #atMs: number;
    readonly #tokensPerSecond: number;

    constructor(tokens: number, atMs: number, tokensPerSecond: number) {
        this.#tokens = tokens;
        this.#atMs = atMs;
        this.#tokensPerSecond = tokensPerSecond;
    }

    add(atMs: number, tokens: number): void {
        this.#tokens = Math.max(0, this.at(atMs) + tokens);
        this.#atMs = atMs;
    }

    at(timeMs: number): number {
        return Number.isFinite(this.#atMs) ?
            Math.max(0, this.#tokens - this.#tokensPerSecond * (timeMs - this.#atMs) / 1000) :
            this.#tokens;
    }
}

/** The change in load caused by a dispatch since the report. */
function changeSince(
    dispatch: Dispatch,
    reportedMs: number,
    weight: number,
): { readonly requests: number; readonly tokens: number; } {
    const isReported = dispatch.sentMs <= reportedMs;
    const isFinished = dispatch.finishedMs !== undefined;
    const isComputed = isFinished || dispatch.firstTokenMs !== undefined;
    const wasComputed = dispatch.firstTokenMs !== undefined && dispatch.firstTokenMs <= reportedMs;
    if (!isReported) {
        return { requests: isFinished ? weight - 1 : weight, tokens: isComputed ? 0 : dispatch.tokens };
    }
    return { requests: isFinished ? -1 : 0, tokens: isComputed && !wasComputed ? -dispatch.tokens : 0 };
}

/** Drops dispatches that had finished when the report was made. */
function dropFinished(endpoint: EndpointLoad, reportedMs: number): void {
    for (const [requestId, dispatch] of endpoint.dispatches) {
        if (dispatch.finishedMs !== undefined && dispatch.finishedMs <= reportedMs) {
            endpoint.dispatches.delete(requestId);
        }
    }
}
