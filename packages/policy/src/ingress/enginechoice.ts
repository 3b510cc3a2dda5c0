import type { EndpointId, FailureDomainId } from "@filbertrelay/kernel";
import { rankByRendezvous } from "../rendezvous.js";
import type { EndpointLoad } from "./loadtracker.js";
import type { PromptPart } from "./promptcache.js";

/** An endpoint that may take a request, with its observed state. */
export interface EndpointCandidate {
    readonly endpointId: EndpointId;
    readonly failureDomain: FailureDomainId;
    /** Number of requests that it runs concurrently. */
    readonly capacity: number;
    readonly load: EndpointLoad;
    /** Prompt tokens that this host knows to be cached there. */
    readonly cachedTokens: number;
    /** Exponentially smoothed fraction of failed attempts, 0 to 1. */
    readonly failureRatio: number;
    readonly isQuarantined: boolean;
}

/** The request for which an endpoint is chosen. */
export interface EndpointDemand {
    /** Parts of the prompt in order; empty for requests without a prompt. */
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Breaks ties between candidates of equal cost. */
    readonly requestId: string;
    /** Endpoints that this request was sent to before. */
    readonly tried: ReadonlySet<EndpointId>;
    readonly homeDomain: FailureDomainId;
    /** Measured time to compute one prompt token. */
    readonly tokenMs: number;
    /** Mean time that a request occupies a slot. */
    readonly slotHoldMs: number;
}

/** The chosen endpoint and the estimates behind it. */
export interface EndpointChoice {
    readonly endpointId: EndpointId;
    readonly tokensToCompute: number;
    /** Time until the first event of the response, or until a request without a prompt starts. */
    readonly expectedStartMs: number;
    readonly running: number;
    /** Whether no other prompt is waiting at the endpoint. */
    readonly isIdle: boolean;
    readonly candidates: number;
}

/** Start latency without the prompt: one engine step and the network round trip. */
const baseStartMs = 25;
/** Weight of the delay that computing the prompt causes for other requests, relative to the delay of the request itself. */
const computeWeight = 0.8;
/** Cost per running request, since each one slows token generation of the others on the same engine. */
const concurrencyPenaltyMs = 1.2;
/** Cost of an endpoint that always fails; a retry costs about as much. */
const failurePenaltyMs = 600;
/** Traffic between failure domains is charged, so endpoints in the home domain are preferred when otherwise equal. */
const crossDomainPenaltyMs = 4;
/** Probability that the engine preferred by all hosts for a prefix has it cached, if this host has not sent it there itself. */
const sharedPrefixProbability = 0.6;
/** Cost spread between endpoints for requests without a prompt, so that hosts with equal load data choose different ones. */
const tieSpreadMs = 6;

/** Chooses the endpoint with the lowest expected cost, in milliseconds; `undefined` without a candidate. */
export function chooseLowestCostEndpoint(
    candidates: readonly EndpointCandidate[],
    demand: EndpointDemand,
): EndpointChoice | undefined {
    const usable = selectUsable(candidates, demand.tried);
    const sharedParts = demand.parts.slice(0, -1);
    const affinityKey = sharedParts.at(-1)?.id ?? demand.requestId;
    const ranked = rankByRendezvous(affinityKey, usable, candidate => candidate.endpointId, {
        weight: candidate => candidate.capacity,
    });
    let best: EndpointChoice | undefined;
    let bestCost = Infinity;
    ranked.forEach((candidate, rank) => {
        const tokensToCompute = countTokensToCompute(candidate, demand, rank);
        const computeMs = tokensToCompute * demand.tokenMs;
        const expectedStartMs = baseStartMs + expectWaitMs(candidate, demand) + computeMs;
        const cost = expectedStartMs + computeWeight * computeMs +
            concurrencyPenaltyMs * candidate.load.running * (64 / candidate.capacity) +
            failurePenaltyMs * candidate.failureRatio +
            (candidate.failureDomain === demand.homeDomain ? 0 : crossDomainPenaltyMs) +
            (demand.parts.length === 0 ? tieSpreadMs * rank / ranked.length : 0);
        if (cost < bestCost) {
            bestCost = cost;
            best = {
                endpointId: candidate.endpointId,
                tokensToCompute,
                expectedStartMs,
                running: candidate.load.running,
                isIdle: candidate.load.waitingTokens === 0,
                candidates: ranked.length,
            };
        }
    });
    return best;
}

/** Excludes endpoints that were tried already, and those in quarantine unless no others remain. */
function selectUsable(candidates: readonly EndpointCandidate[], tried: ReadonlySet<EndpointId>): readonly EndpointCandidate[] {
    const untried = candidates.filter(candidate => !tried.has(candidate.endpointId));
    const healthy = untried.filter(candidate => !candidate.isQuarantined);
    return healthy.length > 0 ? healthy : untried;
}

function countTokensToCompute(candidate: EndpointCandidate, demand: EndpointDemand, rank: number): number {
    const sharedTokens = demand.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
    const assumedCached = rank === 0 ?
        Math.max(candidate.cachedTokens, sharedTokens * sharedPrefixProbability) :
        candidate.cachedTokens;
    return Math.max(0, demand.promptTokens - assumedCached);
}

/** Time until an endpoint starts a request: the prompts ahead of it, and the wait for a slot when all are taken. */
function expectWaitMs({ load, capacity }: EndpointCandidate, demand: EndpointDemand): number {
    const missingSlots = Math.max(0, load.running + 1 - capacity);
    return load.tokensAhead * demand.tokenMs + missingSlots * demand.slotHoldMs / capacity;
}
