import type { EndpointId } from "@filbertrelay/kernel";
import { ReceivedReports } from "./receivedreports.js";

/** A request as the load board counts it. */
export interface DispatchedRequest {
    readonly requestId: string;
    readonly endpointId: EndpointId;
    /** Smaller is more urgent. */
    readonly priority: number;
    /** Prompt tokens that the endpoint has to compute. */
    readonly tokens: number;
}

/** Requests of one host at one endpoint. */
export interface EndpointUse {
    readonly running: number;
    /** Prompt tokens that are not computed yet, by priority. */
    readonly waitingTokens: Readonly<Record<string, number>>;
}

/** Load of an endpoint over all hosts. */
export interface EndpointLoad {
    readonly running: number;
    /** Prompt tokens of requests that are at least as urgent. */
    readonly tokensAhead: number;
    /** Prompt tokens of all requests. */
    readonly waitingTokens: number;
}

/** Load by endpoint, from this host's requests and what the peers report of theirs. */
export interface LoadBoard {
    recordDispatch(request: DispatchedRequest): void;
    /** Notes the first event of an answer: its prompt is computed. */
    recordFirstEvent(requestId: string): void;
    /** Notes the end of a request, however it ended. */
    recordEnd(requestId: string): void;
    /** This host's use by endpoint; sent to the peers. */
    ownUse(): Readonly<Record<string, EndpointUse>>;
    /** Use by endpoint of this host and its peers, without other groups; sent to hosts of other groups. */
    groupUse(nowMs: number): Readonly<Record<string, EndpointUse>>;
    recordPeerUse(peer: string, use: Readonly<Record<string, EndpointUse>>, nowMs: number): void;
    /** Takes the use of another group of hosts. */
    recordGroupUse(group: string, use: Readonly<Record<string, EndpointUse>>, nowMs: number): void;
    estimate(endpointId: EndpointId, priority: number, nowMs: number): EndpointLoad;
    /** Forgets peers and groups whose use is part of other reports now. */
    forgetWhere(isOutdated: (name: string) => boolean): void;
}

/** A peer that has not reported for this long has stopped or can't be reached; its requests are over or unknown. */
const peerReportLifeMs = 2_500;

/** Creates an empty load board. */
export function createLoadBoard(): LoadBoard {
    return new ExchangedLoadBoard();
}

type UseByEndpoint = Readonly<Record<string, EndpointUse>>;

class ExchangedLoadBoard implements LoadBoard {
    readonly #dispatched = new Map<string, DispatchedRequest & { isComputed: boolean; }>();
    readonly #peers = new ReceivedReports<UseByEndpoint>(peerReportLifeMs);
    readonly #groups = new ReceivedReports<UseByEndpoint>(peerReportLifeMs);

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
        let running = 0;
        let tokensAhead = 0;
        let waitingTokens = 0;
        const add = (use: EndpointUse | undefined): void => {
            running += use?.running ?? 0;
            for (const [level, tokens] of Object.entries(use?.waitingTokens ?? {})) {
                waitingTokens += tokens;
                tokensAhead += Number(level) <= priority ? tokens : 0;
            }
        };
        for (const request of this.#dispatched.values()) {
            if (request.endpointId === endpointId) {
                running += 1;
                if (!request.isComputed) {
                    waitingTokens += request.tokens;
                    tokensAhead += request.priority <= priority ? request.tokens : 0;
                }
            }
        }
        this.#peers.live(nowMs).forEach(({ report }) => add(report[endpointId]));
        this.#groups.live(nowMs).forEach(({ report }) => add(report[endpointId]));
        return { running, tokensAhead, waitingTokens };
    }
}
