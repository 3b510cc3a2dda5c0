import type { HostId } from "@filbertrelay/kernel";
import { rankByRendezvous } from "../rendezvous.js";
import { rankServingCandidates } from "./servingset.js";
import type { ServingCandidate } from "./servingset.js";

/** Fewest aggregators of a fleet; tolerates two simultaneous failures. */
const minimumAggregators = 3;
/** Minimum interval between the reports of a host that serves callers to its aggregator. */
const minAttachIntervalMs = 300;
/** The same of a host that doesn't serve. */
const minIdleAttachIntervalMs = 500;
/** Minimum interval per attached host; bounds the calls that an aggregator answers regardless of the size of the fleet. */
const intervalPerAttachedMs = 30;

/** A host is unreachable after this many intervals without contact. */
const reachableIntervals = 4;
/** The same at a host that hears of others through its aggregator. */
const attachedReachableIntervals = 5;
/** Lower bound of that time. */
const minReachabilityTimeoutMs = 1_200;

/** Number of aggregators of a fleet: its square root, so that they exchange with as many others as report to each of them. */
export function countAggregators(hosts: number): number {
    return Math.max(minimumAggregators, Math.ceil(Math.sqrt(hosts)));
}

/** Options of `chooseAggregators`. */
export interface AggregatorChoice {
    /** Number of hosts of the fleet. */
    readonly hosts: number;
    /** Whether a host has not responded to this one lately. */
    readonly isUnresponsive: (hostId: HostId) => boolean;
}

/**
 * Chooses the hosts that exchange the use of the fleet: the strongest of the serving hosts, spread over the failure domains. The choice
 * doesn't depend on how many hosts serve, except that all of them are chosen if too few do. Hosts to which none of these responds
 * add as many of the next ones, until one responds: the same ones everywhere, so that they meet.
 */
export function chooseAggregators<Candidate extends ServingCandidate>(
    serving: readonly Candidate[],
    { hosts, isUnresponsive }: AggregatorChoice,
): readonly Candidate[] {
    const ranked = rankServingCandidates(serving);
    const count = countAggregators(hosts);
    let chosen = ranked.slice(0, count);
    while (chosen.length < ranked.length && chosen.every(({ hostId }) => isUnresponsive(hostId))) {
        chosen = ranked.slice(0, chosen.length + count);
    }
    return chosen;
}

/** Ranks the aggregators for one host, in an order of its own; a host reports to the first one that responds. */
export function rankAggregators(self: HostId, aggregators: readonly HostId[]): readonly HostId[] {
    return rankByRendezvous(self, aggregators.filter(hostId => hostId !== self), hostId => hostId);
}

/** Options of `chooseCounterpart`. */
export interface CounterpartChoice extends AggregatorChoice {
    /** The hosts that exchange with each other as far as this one knows. */
    readonly participants: readonly HostId[];
    /** Number of earlier choices. */
    readonly round: number;
}

/**
 * Chooses the registered host with which an aggregator compares the serving set. Parts of a fleet that have lost each other would not
 * meet again if each only talked to the hosts that it counts as alive: hosts outside of the exchange come first, those that would be
 * aggregators of the whole fleet before others.
 */
export function chooseCounterpart<Candidate extends ServingCandidate>(
    self: HostId,
    registered: readonly Candidate[],
    { hosts, isUnresponsive, participants, round }: CounterpartChoice,
): HostId | undefined {
    const known = new Set(participants);
    const ids = rankServingCandidates(registered).map(({ hostId }) => hostId);
    const isCandidate = (hostId: HostId): boolean => hostId !== self && !isUnresponsive(hostId);
    const leading = ids.slice(0, countAggregators(hosts)).filter(isCandidate);
    const unknown = leading.filter(hostId => !known.has(hostId));
    const candidates = [unknown, leading, ids.filter(isCandidate)].find(list => list.length > 0) ?? [];
    return candidates[round % Math.max(1, candidates.length)];
}

/** Interval at which a host of a fleet reports to its aggregator, in milliseconds. */
export function attachIntervalMs({ hosts, isServing }: { readonly hosts: number; readonly isServing: boolean; }): number {
    const minMs = isServing ? minAttachIntervalMs : minIdleAttachIntervalMs;
    return Math.max(minMs, intervalPerAttachedMs * Math.ceil(hosts / countAggregators(hosts) - 1));
}

/** Time without contact after which a host counts as unreachable, in milliseconds. `intervalMs` is that of this host's reports. */
export function reachabilityTimeoutMs(
    { intervalMs, isAttached }: { readonly intervalMs: number; readonly isAttached: boolean; },
): number {
    return Math.max(minReachabilityTimeoutMs, (isAttached ? attachedReachableIntervals : reachableIntervals) * intervalMs);
}
