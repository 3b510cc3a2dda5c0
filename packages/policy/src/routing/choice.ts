import type { EndpointId, FailureDomainId, Issue, Outcome } from "@filbertrelay/kernel";
import { failure, success } from "@filbertrelay/kernel";
import { rankByRendezvous } from "../rendezvous.js";
import { prefixBlockTokens } from "./block.js";
import type { PromptBlocks } from "./block.js";
import type { LoadEstimate, LoadTable } from "./load.js";
import type { PrefixIndex, PrefixMatch } from "./prefix.js";

/** An endpoint that can take a request. */
export interface RoutingEndpoint {
    readonly endpointId: EndpointId;
    readonly failureDomain: FailureDomainId;
    /** Price of the endpoint's host relative to the cheapest one; 1 by default. */
    readonly relativePrice?: number;
}

/** An endpoint with its estimated cache content and load. */
export interface RoutingCandidate extends RoutingEndpoint {
    readonly match: PrefixMatch;
    readonly load: LoadEstimate;
}

/** Options of `chooseEndpoint`. */
export interface RoutingOptions {
    /** The deployment's weights of latency and cost; only their ratio matters. */
    readonly weights: { readonly latency: number; readonly cost: number; };
    /** Endpoints that must not be chosen, for example those on which this request failed. */
    readonly excluded?: ReadonlySet<EndpointId>;
    /** Failure domains to avoid while others have candidates, so that retries go to another domain. */
    readonly avoidedFailureDomains?: ReadonlySet<FailureDomainId>;
    /** Candidates whose score is within this many milliseconds of the best one are near-best; 60 by default. */
    readonly nearBestMs?: number;
    /** Widens the near-best range by this fraction of the best candidate's compute time for the prompt; 1 by default. */
    readonly nearBestComputeShare?: number;
    /** Widens the near-best range by this multiple of the waiting time's uncertainty, which comes from stale reports; 2.5 by default. */
    readonly nearBestNoiseShare?: number;
    /** Bounds of the congestion factor, see `measureCongestion`; 0 and 4 by default. */
    readonly congestionRange?: readonly [number, number];
    /** Probability that an uncertain block is still cached; 0.9 by default. */
    readonly uncertainBlockProbability?: number;
}

/** The score of one candidate. */
export interface CandidateScore {
    readonly endpointId: EndpointId;
    /** Weighted sum in milliseconds; smaller is better. */
    readonly score: number;
    readonly expectedFirstTokenMs: number;
    readonly tokensToCompute: number;
    readonly nearBest: boolean;
}

/** The chosen endpoint and the scores behind the choice. */
export interface RoutingChoice {
    readonly endpointId: EndpointId;
    readonly failureDomain: FailureDomainId;
    readonly tokensToCompute: number;
    /** Key by which near-best candidates were ranked. */
    readonly affinityKey: string;
    /** All candidates, best score first. */
    readonly explanation: readonly CandidateScore[];
}

/** Why no endpoint was chosen. */
export interface RoutingIssue extends Issue {
    readonly code: "routing.noCandidate";
}

/** Looks up cache and load of endpoints for a prompt. */
export function describeCandidates(
    endpoints: readonly RoutingEndpoint[],
    prompt: PromptBlocks,
    index: PrefixIndex,
    loads: LoadTable,
    now: Date,
): readonly RoutingCandidate[] {
    return endpoints.map(endpoint => ({
        ...endpoint,
        match: index.match(endpoint.endpointId, prompt.blocks),
        load: loads.estimate(endpoint.endpointId, now),
    }));
}

/** Chooses the endpoint with the best score, or one of the near-best by rendezvous hashing on the prompt's distinctive blocks. */
export function chooseEndpoint(
    prompt: PromptBlocks,
    candidates: readonly RoutingCandidate[],
    options: RoutingOptions,
): Outcome<RoutingChoice, RoutingIssue> {
    const usable = selectUsable(candidates, options);
    const commonBlocks = countCommonBlocks(usable);
    const congestion = measureCongestion(usable, options.congestionRange ?? defaultCongestionRange);
    const scored = usable.map(candidate => ({ candidate, ...scoreCandidate(prompt, candidate, congestion, options) }));
    const ordered = [...scored].sort((left, right) => left.score - right.score);
    const best = ordered[0];
    if (best === undefined) {
        return failure({ code: "routing.noCandidate", message: "No endpoint can take the request." });
    }
    const limit = best.score + nearBestRangeMs(best, usable, options);
    const nearBest = ordered.filter(entry => entry.score <= limit);
    const holders = nearBest.filter(({ candidate: { match } }) => match.certainBlocks + match.uncertainBlocks > commonBlocks);
    // Endpoints that hold a popular prefix share its prompts evenly; without one, all hosts choose the same endpoint for the prefix.
    const affinityKey = holders.length > 0 ? prompt.promptHash : prompt.blocks[commonBlocks] ?? prompt.promptHash;
    const ranked = rankByRendezvous(affinityKey, holders.length > 0 ? holders : nearBest, entry => entry.candidate.endpointId);
    const chosen = ranked[0] ?? best;
    return success({
        endpointId: chosen.candidate.endpointId,
        failureDomain: chosen.candidate.failureDomain,
        tokensToCompute: chosen.tokensToCompute,
        affinityKey,
        explanation: ordered.map(entry => ({
            endpointId: entry.candidate.endpointId,
            score: entry.score,
            expectedFirstTokenMs: entry.expectedFirstTokenMs,
            tokensToCompute: entry.tokensToCompute,
            nearBest: nearBest.includes(entry),
        })),
    });
}

const defaultNearBestMs = 60;
// Computing a long prompt on a second endpoint takes about as long as waiting for the first one, so hosts prefer a common endpoint within that time.
const defaultNearBestComputeShare = 1;
const defaultNearBestNoiseShare = 2.5;
// A gap in the events hides only a few evictions among thousands of blocks.
const defaultUncertainBlockProbability = 0.9;

function selectUsable(candidates: readonly RoutingCandidate[], options: RoutingOptions): readonly RoutingCandidate[] {
    const allowed = candidates.filter(candidate => options.excluded?.has(candidate.endpointId) !== true);
    const preferred = allowed.filter(candidate => options.avoidedFailureDomains?.has(candidate.failureDomain) !== true);
    return preferred.length > 0 ? preferred : allowed;
}

function scoreCandidate(
    prompt: PromptBlocks,
    candidate: RoutingCandidate,
    congestion: number,
    options: RoutingOptions,
): { readonly score: number; readonly expectedFirstTokenMs: number; readonly tokensToCompute: number; } {
    const { match, load } = candidate;
    const chance = options.uncertainBlockProbability ?? defaultUncertainBlockProbability;
    const cachedTokens = (match.certainBlocks + chance * match.uncertainBlocks) * prefixBlockTokens;
    const tokensToCompute = Math.max(1, prompt.promptTokens - cachedTokens);
    const computeMs = 1000 * tokensToCompute / load.tokensPerSecond;
    const expectedFirstTokenMs = expectWaitMs(load) + computeMs;
    const { latency, cost } = options.weights;
    const total = latency + cost;
    const costMs = computeMs * (candidate.relativePrice ?? 1);
    const delayMs = expectedFirstTokenMs + congestion * computeMs;
    const score = total === 0 ? delayMs : (latency * delayMs + cost * costMs) / total;
    return { score, expectedFirstTokenMs, tokensToCompute };
}

/** Time until an endpoint starts a new prompt: the prompts ahead of it, and the wait for a batch slot when all are taken. */
function expectWaitMs(load: LoadEstimate): number {
    const promptMs = 1000 * load.waitingPromptTokens / load.tokensPerSecond;
    return promptMs + expectMissingSlots(load) * load.slotHoldMs / load.batchSlots;
}

/**
 * Expected number of requests that must end before a slot is free. The request count has changed with the slot turnover since
 * the report, and its standard deviation is the square root of the starts and ends; the expectation therefore rises gradually
 * before all slots are taken. The softplus function approximates the expectation of a truncated normal distribution.
 */
function expectMissingSlots(load: LoadEstimate): number {
    const missing = load.requests + 1 - load.batchSlots;
    const spread = 0.6 * measureSpread(load);
    if (spread < 0.01 || missing > 20 * spread) {
        return Math.max(0, missing);
    }
    return spread * Math.log1p(Math.exp(missing / spread));
}

// The upper bound keeps the congestion finite when all slots are taken.
const defaultCongestionRange: readonly [number, number] = [0, 4];

/**
 * How much a millisecond of computation delays other requests: u / (1 - u) for the fraction u of all batch slots in use.
 * Without it, a loaded fleet recomputes prompts to avoid queues, and the recomputation lengthens the queues.
 */
function measureCongestion(candidates: readonly RoutingCandidate[], [least, most]: readonly [number, number]): number {
    const slots = candidates.reduce((sum, { load }) => sum + load.batchSlots, 0);
    const requests = candidates.reduce((sum, { load }) => sum + load.requests, 0);
    const free = Math.max(0, slots - requests);
    return slots === 0 ? least : Math.max(least, Math.min(most, requests / Math.max(1, free)));
}

/**
 * Number of leading blocks that most candidates hold, such as a common system prompt. Ranking by one of these would send all
 * prompts to the same endpoint; ranking by a much later block would separate prompts that share a document.
 */
function countCommonBlocks(candidates: readonly RoutingCandidate[]): number {
    const known = candidates.map(({ match }) => match.certainBlocks + match.uncertainBlocks).sort((left, right) => left - right);
    return known[Math.floor(known.length / 2)] ?? 0;
}

/**
 * How much worse than the best score a near-best candidate may be. Differences below the uncertainty of stale reports are not
 * significant; if hosts followed them, all would choose the endpoint that the same stale report shows as idle. Rendezvous hashing
 * among the near-best spreads prompts evenly and keeps prompts with a common document on one endpoint.
 */
function nearBestRangeMs(
    best: { readonly candidate: RoutingCandidate; readonly tokensToCompute: number; },
    candidates: readonly RoutingCandidate[],
    options: RoutingOptions,
): number {
    const { latency, cost } = options.weights;
    const latencyShare = latency + cost === 0 ? 1 : latency / (latency + cost);
    const noiseMs = candidates.reduce((sum, { load }) => sum + measureWaitNoise(load), 0) / candidates.length;
    const computeMs = 1000 * best.tokensToCompute / best.candidate.load.tokensPerSecond;
    return (options.nearBestMs ?? defaultNearBestMs) +
        (options.nearBestNoiseShare ?? defaultNearBestNoiseShare) * latencyShare * noiseMs +
        (options.nearBestComputeShare ?? defaultNearBestComputeShare) * computeMs;
}

/** Uncertainty of the waiting time for a slot, in milliseconds; small while many slots are free. */
function measureWaitNoise(load: LoadEstimate): number {
    const spread = measureSpread(load);
    const missing = load.requests + 1 - load.batchSlots;
    const waitProbability = spread < 0.01 ? 0 : 1 / (1 + Math.exp(-missing / spread));
    return waitProbability * spread * load.slotHoldMs / load.batchSlots;
}

/** Standard deviation of the number of requests: the square root of the expected starts and ends since the report. */
function measureSpread(load: LoadEstimate): number {
    const turnover = Number.isFinite(load.ageMs) ? load.batchSlots * Math.max(0, load.ageMs) / load.slotHoldMs : 0;
    return Math.sqrt(2 * turnover);
}
