import type { EndpointId } from "@filbertrelay/kernel";

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
}

/** A peer that has not reported for this long has stopped or can't be reached; its requests are over or unknown. */
const peerReportLifeMs = 2_500;

/** Creates an empty load board. */
export function createLoadBoard(): LoadBoard {
    return new ExchangedLoadBoard();
}

interface ReceivedUse {
    readonly use: Readonly<Record<string, EndpointUse>>;
    readonly receivedMs: number;
}

class ExchangedLoadBoard implements LoadBoard {
    readonly #dispatched = new Map<string, DispatchedRequest & { isComputed: boolean; }>();
    readonly #peers = new Map<string, ReceivedUse>();
    readonly #groups = new Map<string, ReceivedUse>();

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

    ownUse(): Readonly<Record<string, EndpointUse>> {
        return this.#ownUse();
    }

    groupUse(nowMs: number): Readonly<Record<string, EndpointUse>> {
        const sum = this.#ownUse();
        for (const use of liveUses(this.#peers, nowMs)) {
            for (const [endpointId, { running, waitingTokens }] of Object.entries(use)) {
                const entry = sum[endpointId] ??= { running: 0, waitingTokens: {} };
                entry.running += running;
                for (const [level, tokens] of Object.entries(waitingTokens)) {
                    entry.waitingTokens[level] = (entry.waitingTokens[level] ?? 0) + tokens;
                }
            }
        }
        return sum;
    }

    #ownUse(): Record<string, { running: number; waitingTokens: Record<string, number>; }> {
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
        this.#peers.set(peer, { use, receivedMs: nowMs });
    }

    recordGroupUse(group: string, use: Readonly<Record<string, EndpointUse>>, nowMs: number): void {
        this.#groups.set(group, { use, receivedMs: nowMs });
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
        liveUses(this.#peers, nowMs).forEach(use => add(use[endpointId]));
        liveUses(this.#groups, nowMs).forEach(use => add(use[endpointId]));
        return { running, tokensAhead, waitingTokens };
    }
}

/** Reports that are recent enough to count; others are dropped. */
function liveUses(received: Map<string, ReceivedUse>, nowMs: number): readonly Readonly<Record<string, EndpointUse>>[] {
    const uses: Readonly<Record<string, EndpointUse>>[] = [];
    for (const [name, { use, receivedMs }] of received) {
        if (nowMs - receivedMs > peerReportLifeMs) {
            received.delete(name);
        }
        else {
            uses.push(use);
        }
    }
    return uses;
}
