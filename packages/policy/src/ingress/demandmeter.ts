import { SlidingWindow } from "./slidingwindow.js";

/** Measures how many endpoints the work of a service keeps busy. */
export interface DemandMeter {
    /** Notes work that an endpoint takes this long for, counted as if it did nothing else. */
    recordWork(service: string, workMs: number, nowMs: number): void;
    /** Busy endpoints by service, caused by this host's requests; sent to the peers. */
    ownDemand(nowMs: number): Readonly<Record<string, number>>;
    recordPeerDemand(peer: string, demand: Readonly<Record<string, number>>, nowMs: number): void;
    /** Busy endpoints of a service over all hosts. */
    demand(service: string, nowMs: number): number;
}

/** Span over which demand is averaged: requests come in bunches of a few seconds, and an endpoint takes as long to start. */
const spanMs = 8_000;
/** Reports of hosts that have ended leave the sum after this time. */
const peerReportLifeMs = 3_000;

/** Creates a meter without demand. */
export function createDemandMeter(): DemandMeter {
    const own = new Map<string, SlidingWindow>();
    const peers = new Map<string, { readonly demand: Readonly<Record<string, number>>; readonly receivedMs: number; }>();
    return {
        recordWork: (service, workMs, nowMs) => {
            const window = own.get(service) ?? new SlidingWindow(spanMs, nowMs);
            own.set(service, window);
            window.add(workMs, nowMs);
        },
        ownDemand: nowMs => Object.fromEntries([...own].map(([service, window]) => [service, window.sum(nowMs) / spanMs])),
        recordPeerDemand: (peer, demand, nowMs) => void peers.set(peer, { demand, receivedMs: nowMs }),
        demand: (service, nowMs) => {
            let sum = (own.get(service)?.sum(nowMs) ?? 0) / spanMs;
            for (const [peer, { demand, receivedMs }] of peers) {
                if (nowMs - receivedMs > peerReportLifeMs) {
                    peers.delete(peer);
                }
                else {
                    sum += demand[service] ?? 0;
                }
            }
            return sum;
        },
    };
}
