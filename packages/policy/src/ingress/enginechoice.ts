import type { EndpointId, FailureDomainId } from "@filbertrelay/kernel";
import { rankByRendezvous } from "../rendezvous.js";
import type { EndpointLoad } from "./loadboard.js";
import type { PromptPart } from "./promptcache.js";

/** An endpoint that may take a request, with what is known of it. */
export interface EndpointCandidate {
    readonly endpointId: EndpointId;
    readonly failureDomain: FailureDomainId;
    /** Requests that it runs at once. */
    readonly capacity: number;
    readonly load: EndpointLoad;
    /** Prompt tokens that this host knows to be cached there. */
    readonly cachedTokens: number;
    /** Smoothed part of the attempts that failed, 0 to 1. */
    readonly failureRatio: number;
    readonly isQuarantined: boolean;
}

/** What the choice depends on besides the candidates. */
export interface EndpointDemand {
    /** Parts of the prompt in order; empty for requests without a prompt. */
    readonly parts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Chooses among equal candidates. */
    readonly requestId: string;
    /** Endpoints that this request was sent to before. */
    readonly tried: ReadonlySet<EndpointId>;
    readonly homeDomain: FailureDomainId;
    /** Measured time to compute one prompt token. */
    readonly tokenMs: number;
    /** Mean time that a request occupies a place. */
    readonly holdMs: number;
}

/** The chosen endpoint and the estimates behind it. */
export interface EndpointChoice {
    readonly endpointId: EndpointId;
    readonly tokensToCompute: number;
    /** Time until the first event of the answer, or until a request without a prompt starts. */
    readonly expectedStartMs: number;
    readonly running: number;
    /** No other prompt waits there. */
    readonly isIdle: boolean;
    readonly candidates: number;
}

/** Time of an engine's step and of the way there and back, before the prompt counts. */
const baseStartMs = 25;
/** Weight of the computation that a prompt takes from other requests, relative to its own delay. */
const computeWeight = 0.8;
/** Every further request slows the tokens of the others at the same engine. */
const crowdingMs = 1.2;
/** Expected loss from an endpoint that always fails; a retry costs about as much. */
const failureMs = 600;
/** Bytes between failure domains are priced, so that equal endpoints at home come first. */
const awayMs = 4;
/** Chance that the engine which all hosts prefer for a prefix has it, when this host has not sent it there itself. */
const sharedPrefixChance = 0.6;
/** Spread among endpoints without a prompt, so that hosts with the same view don't choose the same one. */
const tieSpreadMs = 6;

/** Chooses the endpoint with the lowest expected cost in milliseconds; `undefined` without a candidate. */
export function chooseEndpointFor(
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
            crowdingMs * candidate.load.running * (64 / candidate.capacity) +
            failureMs * candidate.failureRatio + (candidate.failureDomain === demand.homeDomain ? 0 : awayMs) +
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

/** Leaves out endpoints that were tried or are in quarantine, while others are left. */
function selectUsable(candidates: readonly EndpointCandidate[], tried: ReadonlySet<EndpointId>): readonly EndpointCandidate[] {
    const fresh = candidates.filter(candidate => !tried.has(candidate.endpointId));
    const healthy = fresh.filter(candidate => !candidate.isQuarantined);
    return healthy.length > 0 ? healthy : fresh;
}

function countTokensToCompute(candidate: EndpointCandidate, demand: EndpointDemand, rank: number): number {
    const sharedTokens = demand.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
    const assumed = rank === 0 ? Math.max(candidate.cachedTokens, sharedTokens * sharedPrefixChance) : candidate.cachedTokens;
    return Math.max(0, demand.promptTokens - assumed);
}

/** Time until an endpoint starts on a request: prompts before it, and a place when all are taken. */
function expectWaitMs({ load, capacity }: EndpointCandidate, demand: EndpointDemand): number {
    const missingPlaces = Math.max(0, load.running + 1 - capacity);
    return load.tokensAhead * demand.tokenMs + missingPlaces * demand.holdMs / capacity;
}
