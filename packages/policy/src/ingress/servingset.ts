import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import { hashText } from "../rendezvous.js";

/** A host that could serve callers. */
export interface ServingCandidate {
    readonly hostId: HostId;
    readonly failureDomain: FailureDomainId;
    /** Processor time that the host has, in seconds a second. */
    readonly strength: number;
}

/** Options of `chooseServingHosts`. */
export interface ServingDemand {
    /** Processor time that the callers' requests take on all hosts together, in seconds a second. */
    readonly work: number;
}

/** Fleets up to this size have no spare hosts: knowledge is exchanged between all pairs anyway. */
export const largestFullFleet = 12;
/** Part of a serving host's processor that requests may take on average; small hosts need the rest for bunches of requests. */
const targetUtilization = 0.2;
/** Part of the fleet's strength that serves at the least, because a burst comes faster than the set can grow. */
const leastShare = 0.25;
/** Hosts that serve in each failure domain at the least, so that callers of the domain outlast the loss of two. */
const leastPerDomain = 3;
/** The loss of the failure domain that carries most must leave enough strength for the load. */
const lossReserve = 1.25;

/**
 * Chooses the hosts that callers are sent to: the strongest ones, spread over the failure domains, as many as the work needs. All
 * hosts that know the same candidates choose the same, and hosts that know a little more or less differ only in the last places.
 */
export function chooseServingHosts<Candidate extends ServingCandidate>(
    candidates: readonly Candidate[],
    { work }: ServingDemand,
): readonly Candidate[] {
    if (candidates.length <= largestFullFleet) {
        return candidates;
    }
    const total = candidates.reduce((sum, { strength }) => sum + strength, 0);
    const needed = Math.max(total * leastShare, lossReserve * work / targetUtilization);
    const chosen: Candidate[] = [];
    let strength = 0;
    for (const [place, row] of arrangeInRows(candidates).entries()) {
        for (const candidate of row) {
            if (strength >= needed && place >= leastPerDomain) {
                return chosen;
            }
            chosen.push(candidate);
            strength += candidate.strength;
        }
    }
    return chosen;
}

/** One host of each failure domain in a row, the strongest ones in the first. */
function arrangeInRows<Candidate extends ServingCandidate>(candidates: readonly Candidate[]): readonly (readonly Candidate[])[] {
    const ranked = candidates.map(candidate => ({ candidate, tie: hashText(candidate.hostId) })).sort((left, right) =>
        right.candidate.strength - left.candidate.strength || left.tie - right.tie ||
        (left.candidate.hostId < right.candidate.hostId ? -1 : 1)
    );
    const places = new Map<FailureDomainId, number>();
    const rows: Candidate[][] = [];
    for (const { candidate } of ranked) {
        const place = places.get(candidate.failureDomain) ?? 0;
        places.set(candidate.failureDomain, place + 1);
        (rows[place] ??= []).push(candidate);
    }
    return rows;
}
