import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import { rankByRendezvous, rendezvousScore } from "../rendezvous.js";
import { largestAllServingFleet } from "./servingset.js";
import type { ServingCandidate } from "./servingset.js";

/** A caller's query for host addresses. */
export interface DirectoryQuery {
    /** `undefined` if the caller does not state its failure domain. */
    readonly failureDomain: FailureDomainId | undefined;
    /** Upper limit of addresses in the response. */
    readonly limit: number;
    /** Identifies the responding host and the current time interval; responses for one key are the same. */
    readonly key: string;
}

/** A caller with fewer hosts than this in its own failure domain also gets hosts of other domains. */
const minimumOwnHosts = 3;
/** Hosts of each other failure domain in a response, as a fallback when the caller's own domain becomes unreachable. */
const hostsPerOtherDomain = 1;

/** The hosts that reach endpoints on links of their own; all if none does, since callers are refused at once there. */
export function preferConnectedHosts<Candidate extends ServingCandidate>(
    serving: readonly Candidate[],
    stranded: ReadonlySet<HostId>,
): readonly Candidate[] {
    const connected = stranded.size === 0 ? serving : serving.filter(({ hostId }) => !stranded.has(hostId));
    return connected.length > 0 ? connected : serving;
}

/**
 * Chooses the hosts returned to one caller. Callers pick a random address from the response, so each host is included with a
 * probability proportional to its strength: the strongest always, weaker ones in fewer responses.
 */
export function chooseHostsForCaller<Candidate extends ServingCandidate>(
    serving: readonly Candidate[],
    query: DirectoryQuery,
): readonly Candidate[] {
    if (serving.length <= largestAllServingFleet) {
        const isOwn = ({ failureDomain }: Candidate): number => Number(failureDomain === query.failureDomain);
        return [...serving].sort((left, right) => isOwn(right) - isOwn(left));
    }
    const strongest = Math.max(...serving.map(({ strength }) => strength));
    const ranked = rankByRendezvous(query.key, serving, ({ hostId }) => hostId, { weight: ({ strength }) => strength });
    const drawn = ranked.map(candidate => ({
        candidate,
        isSelected: rendezvousScore(`${query.key}/draw`, candidate.hostId) * strongest < candidate.strength,
    }));
    const own = drawn.filter(({ candidate }) => candidate.failureDomain === query.failureDomain);
    const others = drawn.filter(({ candidate }) => candidate.failureDomain !== query.failureDomain);
    const chosen = [
        ...takeSelected(own),
        ...(own.length < minimumOwnHosts ? takeSelected(others) : firstOfEachDomain(others.map(({ candidate }) => candidate))),
    ];
    return chosen.slice(0, query.limit);
}

/** The selected hosts, filled up with others to the minimum. */
function takeSelected<Candidate>(
    drawn: readonly { readonly candidate: Candidate; readonly isSelected: boolean; }[],
): readonly Candidate[] {
    const count = Math.max(minimumOwnHosts, drawn.filter(({ isSelected }) => isSelected).length);
    const inOrder = [...drawn].sort((left, right) => Number(right.isSelected) - Number(left.isSelected));
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
