import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import { rendezvousScore } from "../../rendezvous.js";

/** A host that may pass a request on to an endpoint. */
export interface RelayCandidate {
    readonly hostId: HostId;
    readonly failureDomain: FailureDomainId;
    /** Whether it is cut off from the endpoints itself. */
    readonly isStranded: boolean;
    /** It said that it takes no more until then; monotonic time of this host. */
    readonly pausedUntilMs: number;
    /** Requests of this host that it relays now. */
    readonly load: number;
}

/** A request that needs a relay. */
export interface RelayDemand {
    readonly requestId: string;
    readonly homeDomain: FailureDomainId;
    readonly endpointDomain: FailureDomainId;
    readonly nowMs: number;
}

/** Requests by which the loads of two relays may differ before the less loaded one is preferred. */
const loadStep = 4;

/**
 * Chooses the host that relays a request; `undefined` without a candidate. The host with the fewest requests of this one is preferred,
 * in steps; one whose use makes the bytes cross failure domains twice counts as a step more. Of equal ones each request has its own
 * order, so that hosts that are cut off together don't all prefer the same.
 */
export function chooseRelay<Candidate extends RelayCandidate>(
    candidates: readonly Candidate[],
    { requestId, homeDomain, endpointDomain, nowMs }: RelayDemand,
): Candidate | undefined {
    const [best] = candidates
        .filter(({ isStranded, pausedUntilMs }) => !isStranded && pausedUntilMs <= nowMs)
        .map(candidate => ({
            candidate,
            steps: Math.floor(candidate.load / loadStep) +
                Number(countCrossings([homeDomain, candidate.failureDomain, endpointDomain]) > 1),
            score: rendezvousScore(requestId, candidate.hostId),
        }))
        .sort((left, right) => left.steps - right.steps || right.score - left.score);
    return best?.candidate;
}

function countCrossings(path: readonly FailureDomainId[]): number {
    return path.slice(1).filter((domain, index) => domain !== path[index]).length;
}
