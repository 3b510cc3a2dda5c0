import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import { hashText } from "../rendezvous.js";

/** A host that can serve callers. */
export interface ServingCandidate {
    readonly hostId: HostId;
    readonly failureDomain: FailureDomainId;
    /** Processor capacity of the host, in CPU seconds per second. */
    readonly strength: number;
}

/** Options of `chooseServingHosts`. */
export interface ServingDemand {
    /** Processor time used by callers' requests on all hosts together, in CPU seconds per second. */
    readonly work: number;
}

/** In fleets up to this size every host serves, since all pairs of hosts exchange state anyway. */
export const largestAllServingFleet = 12;
/** Average fraction of a serving host's processor that requests may use; small hosts need the rest for bursts. */
const targetUtilization = 0.2;
/** Minimum fraction of the fleet's strength that serves, because bursts arrive faster than the set can grow. */
const minimumServingShare = 0.25;
/** Minimum number of serving hosts per failure domain, so that callers of the domain tolerate the loss of two. */
const minimumPerDomain = 3;
/** Factor on the needed strength, so that enough is left after the loss of the most loaded failure domain. */
const domainLossReserve = 1.25;

/**
 * Chooses the hosts that callers are sent to: the strongest ones, spread over the failure domains, as many as the work needs.
 * Hosts with the same candidates choose the same set; with slightly different candidates only the last choices differ.
 */
export function chooseServingHosts<Candidate extends ServingCandidate>(
    candidates: readonly Candidate[],
    { work }: ServingDemand,
): readonly Candidate[] {
    if (candidates.length <= largestAllServingFleet) {
        return candidates;
    }
    const total = candidates.reduce((sum, { strength }) => sum + strength, 0);
    const needed = Math.max(total * minimumServingShare, domainLossReserve * work / targetUtilization);
    const chosen: Candidate[] = [];
    let strength = 0;
    for (const [rank, row] of groupIntoRows(candidates).entries()) {
        for (const candidate of row) {
            if (strength >= needed && rank >= minimumPerDomain) {
                return chosen;
            }
            chosen.push(candidate);
            strength += candidate.strength;
        }
    }
    return chosen;
}

/**
 * Processor time that callers ask of a full host besides what was counted for their requests, in milliseconds: all that the host has.
 * The count rests on a mean per request, and a host that can't read its callers counts too few of them.
 */
export function countPressedWork(
    { strength, pressedMs, countedMs }: { readonly strength: number; readonly pressedMs: number; readonly countedMs: number; },
): number {
    return Math.max(0, strength * pressedMs - countedMs);
}

/** Orders hosts by strength, with one host of each failure domain before a second one of any. Equal on all hosts. */
export function rankServingCandidates<Candidate extends ServingCandidate>(
    candidates: readonly Candidate[],
): readonly Candidate[] {
    return groupIntoRows(candidates).flat();
}

/** Groups hosts into rows with one host of each failure domain, strongest first. */
function groupIntoRows<Candidate extends ServingCandidate>(candidates: readonly Candidate[]): readonly (readonly Candidate[])[] {
    const ranked = candidates.map(candidate => ({ candidate, tie: hashText(candidate.hostId) })).sort((left, right) =>
        right.candidate.strength - left.candidate.strength || left.tie - right.tie ||
        (left.candidate.hostId < right.candidate.hostId ? -1 : 1)
    );
    const nextRank = new Map<FailureDomainId, number>();
    const rows: Candidate[][] = [];
    for (const { candidate } of ranked) {
        const rank = nextRank.get(candidate.failureDomain) ?? 0;
        nextRank.set(candidate.failureDomain, rank + 1);
        (rows[rank] ??= []).push(candidate);
    }
    return rows;
}
