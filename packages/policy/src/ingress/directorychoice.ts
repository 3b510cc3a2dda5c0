import type { FailureDomainId } from "@filbertrelay/kernel";
import { rankByRendezvous, rendezvousScore } from "../rendezvous.js";
import { largestFullFleet } from "./servingset.js";
import type { ServingCandidate } from "./servingset.js";

/** Who asks for addresses, and when. */
export interface DirectoryQuestion {
    /** Absent where the caller does not say where it is. */
    readonly failureDomain: FailureDomainId | undefined;
    /** Most addresses that an answer may hold. */
    readonly limit: number;
    /** Names the host that answers and the present stretch of time; answers under one key are the same. */
    readonly key: string;
}

/** With fewer hosts of its own failure domain a caller is given hosts of other ones too. */
const fewestOwnHosts = 3;
/** Hosts of each other failure domain in an answer, so that a caller whose own domain is cut off finds one at once. */
const hostsPerOtherDomain = 1;

/**
 * Chooses the hosts that one caller is given. Callers take an address of the answer at random, so that weak hosts are in fewer
 * answers: in a part that is their strength compared with the strongest host's.
 */
export function chooseForCaller<Candidate extends ServingCandidate>(
    serving: readonly Candidate[],
    question: DirectoryQuestion,
): readonly Candidate[] {
    if (serving.length <= largestFullFleet) {
        const isOwn = ({ failureDomain }: Candidate): number => Number(failureDomain === question.failureDomain);
        return [...serving].sort((left, right) => isOwn(right) - isOwn(left));
    }
    const strongest = Math.max(...serving.map(({ strength }) => strength));
    const ranked = rankByRendezvous(question.key, serving, ({ hostId }) => hostId, { weight: ({ strength }) => strength });
    const drawn = ranked.map(candidate => ({
        candidate,
        isGiven: rendezvousScore(`${question.key}/draw`, candidate.hostId) * strongest < candidate.strength,
    }));
    const own = drawn.filter(({ candidate }) => candidate.failureDomain === question.failureDomain);
    const others = drawn.filter(({ candidate }) => candidate.failureDomain !== question.failureDomain);
    const given = [
        ...takeGiven(own),
        ...(own.length < fewestOwnHosts ? takeGiven(others) : firstOfEachDomain(others.map(({ candidate }) => candidate))),
    ];
    return given.slice(0, question.limit);
}

/** The hosts that were drawn, and further ones while those are too few. */
function takeGiven<Candidate>(
    drawn: readonly { readonly candidate: Candidate; readonly isGiven: boolean; }[],
): readonly Candidate[] {
    const count = Math.max(fewestOwnHosts, drawn.filter(({ isGiven }) => isGiven).length);
    const inOrder = [...drawn].sort((left, right) => Number(right.isGiven) - Number(left.isGiven));
    return inOrder.slice(0, count).map(({ candidate }) => candidate);
}

function firstOfEachDomain<Candidate extends ServingCandidate>(candidates: readonly Candidate[]): readonly Candidate[] {
    const counts = new Map<FailureDomainId, number>();
    return candidates.filter(({ failureDomain }) => {
        const count = counts.get(failureDomain) ?? 0;
        counts.set(failureDomain, count + 1);
        return count < hostsPerOtherDomain;
    });
}
