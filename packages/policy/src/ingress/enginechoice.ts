import type { EndpointId, FailureDomainId } from "@filbertrelay/kernel";
import { rankByRendezvous } from "../rendezvous.js";
import type { EndpointLoad } from "./loadtracker.js";
import type { PromptPart } from "./promptcache.js";

/** What a host knows of an endpoint at a moment. */
export interface EndpointState {
    readonly load: EndpointLoad;
    /** Prompt tokens that this host knows to be cached there. */
    readonly cachedTokens: number;
    /** Exponentially smoothed fraction of failed attempts, 0 to 1. */
    readonly failureRatio: number;
    /** Requests that this host may have there at the same time; finite while the endpoint is in its slow start. */
    readonly allowance: number;
}

/** An endpoint that may take a request. */
export interface EndpointCandidate {
    readonly endpointId: EndpointId;
    readonly failureDomain: FailureDomainId;
    /** Number of requests that it runs concurrently. */
    readonly capacity: number;
    readonly isQuarantined: boolean;
    /** Looks up its state; called only for the few endpoints that are compared. */
    readonly observe: () => EndpointState;
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
    /** Latency objective of the request. */
    readonly objectiveMs: number;
    /** Whether another endpoint can run the request if the chosen one fails. */
    readonly isRepeatable: boolean;
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

/** Endpoints that are compared for a request; twice as many whenever it would wait too long at those. */
const consideredEndpoints = 3;
/** A request waits too long at an endpoint that takes more than this fraction of the objective to start it. */
const widenShare = 0.4;
/** Start latency without the prompt: one engine step and the network round trip. */
const baseStartMs = 25;
/** Weight of the delay that computing the prompt causes for other requests, relative to the delay of the request itself. */
const computeWeight = 0.8;
/** Cost per running request, since each one slows token generation of the others on the same engine. */
const concurrencyPenaltyMs = 1.2;
/** Cost of an endpoint that always fails; a retry costs about as much. */
const failurePenaltyMs = 600;
/**
 * Cost of each request beyond the pace of an endpoint. Other hosts may send there at the same moment, but an endpoint that starts is
 * still better than a longer queue.
 */
const beyondPacePenaltyMs = 250;
/** Traffic between failure domains is charged, so endpoints in the home domain are preferred when otherwise equal. */
const crossDomainPenaltyMs = 4;
/** Probability that the engine preferred by all hosts for a prefix has it cached, if this host has not sent it there itself. */
const sharedPrefixProbability = 0.6;
/** Cost spread between endpoints for requests without a prompt, so that hosts with equal load data choose different ones. */
const tieSpreadMs = 6;

/**
 * Chooses an endpoint with a low expected cost, in milliseconds; `undefined` without a candidate. Only a few endpoints are compared
 * for a request, others than for the next one: hosts know each other's requests late, so comparing all would send the requests of all
 * hosts to the same endpoint. More are compared if the request would wait too long at those.
 */
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
    const limitMs = demand.objectiveMs * widenShare;
    let best: (EndpointChoice & { readonly cost: number; }) | undefined;
    for (const [rank, candidate] of ranked.entries()) {
        if (isWidened(rank) && best !== undefined && best.expectedStartMs <= limitMs) {
            break;
        }
        const estimate = estimateChoice(candidate, demand, { rank, candidates: ranked.length });
        if (best === undefined || estimate.cost < best.cost) {
            best = estimate;
        }
    }
    return best;
}

/** Share of a number of endpoints that a request is placed on while none of them is busy. */
export function consideredShare(endpoints: number): number {
    return Math.min(1, consideredEndpoints / endpoints);
}

/** Whether the candidates before a rank are all those that are considered together. */
function isWidened(rank: number): boolean {
    return rank >= consideredEndpoints && Number.isInteger(Math.log2(rank / consideredEndpoints));
}

function estimateChoice(
    { endpointId, failureDomain, capacity, observe }: EndpointCandidate,
    demand: EndpointDemand,
    { rank, candidates }: { readonly rank: number; readonly candidates: number; },
): EndpointChoice & { readonly cost: number; } {
    const state = observe();
    const { load } = state;
    const tokensToCompute = countTokensToCompute(state, demand, rank);
    const computeMs = tokensToCompute * demand.tokenMs;
    const expectedStartMs = baseStartMs + expectWaitMs(load, capacity, demand) + computeMs;
    const cost = expectedStartMs + computeWeight * computeMs +
        concurrencyPenaltyMs * load.running * (64 / capacity) +
        failurePenaltyMs * expectedFailures(state, demand) +
        beyondPacePenaltyMs * countBeyondPace(state) +
        (failureDomain === demand.homeDomain ? 0 : crossDomainPenaltyMs) +
        (demand.parts.length === 0 ? tieSpreadMs * rank / candidates : 0);
    return {
        endpointId,
        tokensToCompute,
        expectedStartMs,
        running: load.running,
        isIdle: load.waitingTokens === 0,
        candidates,
        cost,
    };
}

/** Excludes endpoints that were tried already, and those in quarantine unless no others remain. */
function selectUsable(candidates: readonly EndpointCandidate[], tried: ReadonlySet<EndpointId>): readonly EndpointCandidate[] {
    const untried = candidates.filter(candidate => !tried.has(candidate.endpointId));
    const healthy = untried.filter(candidate => !candidate.isQuarantined);
    return healthy.length > 0 ? healthy : untried;
}

/** Requests that this host would have at an endpoint beyond its share of the endpoint's window. */
function countBeyondPace({ load, allowance }: EndpointState): number {
    return allowance === Infinity ? 0 : Math.max(0, load.ownRunning + 1 - allowance);
}

/** Failures before a slow start say nothing of the endpoint now, and only new requests can show whether it has recovered. */
function expectedFailures({ failureRatio, allowance }: EndpointState, { isRepeatable }: EndpointDemand): number {
    return isRepeatable && allowance !== Infinity ? 0 : failureRatio;
}

function countTokensToCompute({ cachedTokens }: EndpointState, demand: EndpointDemand, rank: number): number {
    const sharedTokens = demand.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
    const assumedCached = rank === 0 ? Math.max(cachedTokens, sharedTokens * sharedPrefixProbability) : cachedTokens;
    return Math.max(0, demand.promptTokens - assumedCached);
}

/** Time until an endpoint starts a request: the prompts ahead of it, and the wait for a slot when all are taken. */
function expectWaitMs(load: EndpointLoad, capacity: number, demand: EndpointDemand): number {
    const missingSlots = Math.max(0, load.running + 1 - capacity);
    return load.tokensAhead * demand.tokenMs + missingSlots * demand.slotHoldMs / capacity;
}
