import type { EndpointId } from "@filbertrelay/kernel";
import { ReceivedReports } from "./receivedreports.js";

/** A dispatched request as counted by the load tracker. */
export interface DispatchedRequest {
    readonly requestId: string;
    readonly endpointId: EndpointId;
    /** A smaller number is more urgent. */
    readonly priority: number;
    /** Prompt tokens that the endpoint has to compute. */
    readonly tokens: number;
}

/** In-flight requests of one host at one endpoint. */
export interface EndpointUse {
    readonly running: number;
    /** Prompt tokens not yet computed, by priority. */
    readonly waitingTokens: Readonly<Record<string, number>>;
}

/** Load of one endpoint over all hosts. */
export interface EndpointLoad {
    readonly running: number;
    /** The part of `running` that this host sent. */
    readonly ownRunning: number;
    /** Waiting prompt tokens of requests with equal or more urgent priority. */
    readonly tokensAhead: number;
    /** Waiting prompt tokens of all requests. */
    readonly waitingTokens: number;
}

/** Tracks the load of each endpoint, from this host's requests and the reports of peers. */
export interface LoadTracker {
    recordDispatch(request: DispatchedRequest): void;
    /** Records the first event of a response, after which its prompt counts as computed. */
    recordFirstEvent(requestId: string): void;
    /** Records the end of a request, whatever its outcome. */
    recordEnd(requestId: string): void;
    /** Load by endpoint of this host; sent to the peers. */
    ownUse(): Readonly<Record<string, EndpointUse>>;
    /** Load by endpoint of this host and its peers, without other groups; sent to hosts of other groups. */
    groupUse(nowMs: number): Readonly<Record<string, EndpointUse>>;
    recordPeerUse(peer: string, use: Readonly<Record<string, EndpointUse>>, nowMs: number): void;
    /** Stores the load reported for another group of hosts. */
    recordGroupUse(group: string, use: Readonly<Record<string, EndpointUse>>, nowMs: number): void;
    estimate(endpointId: EndpointId, priority: number, nowMs: number): EndpointLoad;
    /** Returns `estimate` for requests of a priority at one moment, to be asked for several endpoints. */
    estimator(priority: number, nowMs: number): (endpointId: EndpointId) => EndpointLoad;
    /** Drops reports of peers and groups whose load is included in other reports after a regrouping. */
    forgetWhere(isOutdated: (name: string) => boolean): void;
}

/** A peer that has not reported for this long has stopped or is unreachable; its requests have ended or are unknown. */
const peerReportTtlMs = 2_500;

/** Creates an empty load tracker. */
export function createLoadTracker(): LoadTracker {
    return new DistributedLoadTracker();
}

type UseByEndpoint = Readonly<Record<string, EndpointUse>>;

class DistributedLoadTracker implements LoadTracker {
    readonly #dispatched = new Map<string, DispatchedRequest & { isComputed: boolean; }>();
    readonly #peers = new ReceivedReports<UseByEndpoint>(peerReportTtlMs);
    readonly #groups = new ReceivedReports<UseByEndpoint>(peerReportTtlMs);

    recordDispatch(request: DispatchedRequest): void {
        this.#dispatched.set(request.requestId, { ...request, isComputed: false });
    }

    recordFirstEvent(requestId: string): void {
        const request = this.#dispatched.get(requestId);
        if (request !== undefined) {
            request.isComputed = true;
        }
    }

    recordEnd(requestId: string): void {
        this.#dispatched.delete(requestId);
    }

    groupUse(nowMs: number): Readonly<Record<string, EndpointUse>> {
        const sum = this.ownUse();
        for (const { report } of this.#peers.live(nowMs)) {
            for (const [endpointId, { running, waitingTokens }] of Object.entries(report)) {
                const entry = sum[endpointId] ??= { running: 0, waitingTokens: {} };
                entry.running += running;
                for (const [level, tokens] of Object.entries(waitingTokens)) {
                    entry.waitingTokens[level] = (entry.waitingTokens[level] ?? 0) + tokens;
                }
            }
        }
        return sum;
    }

    ownUse(): Record<string, { running: number; waitingTokens: Record<string, number>; }> {
        const use: Record<string, { running: number; waitingTokens: Record<string, number>; }> = {};
        for (const request of this.#dispatched.values()) {
            const entry = use[request.endpointId] ??= { running: 0, waitingTokens: {} };
            entry.running += 1;
            if (!request.isComputed && request.tokens > 0) {
                entry.waitingTokens[request.priority] = (entry.waitingTokens[request.priority] ?? 0) + request.tokens;
            }
        }
        return use;
    }

    recordPeerUse(peer: string, use: Readonly<Record<string, EndpointUse>>, nowMs: number): void {
        this.#peers.record(peer, use, nowMs);
    }

    recordGroupUse(group: string, use: Readonly<Record<string, EndpointUse>>, nowMs: number): void {
        this.#groups.record(group, use, nowMs);
    }

    forgetWhere(isOutdated: (name: string) => boolean): void {
        this.#peers.forgetWhere(isOutdated);
        this.#groups.forgetWhere(isOutdated);
    }

    estimate(endpointId: EndpointId, priority: number, nowMs: number): EndpointLoad {
        return this.estimator(priority, nowMs)(endpointId);
    }

    estimator(priority: number, nowMs: number): (endpointId: EndpointId) => EndpointLoad {
        const own = new Map<EndpointId, { running: number; tokensAhead: number; waitingTokens: number; }>();
        for (const request of this.#dispatched.values()) {
            const load = own.get(request.endpointId) ?? { running: 0, tokensAhead: 0, waitingTokens: 0 };
            own.set(request.endpointId, load);
            load.running += 1;
            if (!request.isComputed) {
                load.waitingTokens += request.tokens;
                load.tokensAhead += request.priority <= priority ? request.tokens : 0;
            }
        }
        const reports = [...this.#peers.live(nowMs), ...this.#groups.live(nowMs)].map(({ report }) => report);
        return endpointId => {
            let { running, tokensAhead, waitingTokens } = own.get(endpointId) ?? { running: 0, tokensAhead: 0, waitingTokens: 0 };
            const ownRunning = running;
            for (const report of reports) {
                const use = report[endpointId];
                if (use !== undefined) {
                    running += use.running;
                    for (const [level, tokens] of Object.entries(use.waitingTokens)) {
                        waitingTokens += tokens;
                        tokensAhead += Number(level) <= priority ? tokens : 0;
                    }
                }
            }
            return { running, ownRunning, tokensAhead, waitingTokens };
        };
    }
}
