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

/** An endpoint with what is known of its cache and load. */
export interface RoutingCandidate extends RoutingEndpoint {
    readonly match: PrefixMatch;
    readonly load: LoadEstimate;
}

/** Options of `chooseEndpoint`. */
export interface RoutingOptions {
    /** The deployment's weights; only their ratio matters. */
    readonly weights: { readonly latency: number; readonly cost: number; };
    /** Endpoints that must not be chosen, for example those that failed this request. */
    readonly excluded?: ReadonlySet<EndpointId>;
    /** Failure domains to leave out while others have candidates; spreads retries. */
    readonly avoidedFailureDomains?: ReadonlySet<FailureDomainId>;
    /** Candidates whose score is within this many milliseconds of the best one are near-best; 60 by default. */
    readonly nearBestMs?: number;
    /** Widens the near-best range by this part of the time that the best candidate computes the prompt; 1 by default. */
    readonly nearBestComputeShare?: number;
    /** Widens the near-best range by this part of the uncertainty that late reports leave in the waiting time; 2.5 by default. */
    readonly nearBestNoiseShare?: number;
    /** Limits of the congestion, see `measureCongestion`; 0 and 4 by default. */
    readonly congestionRange?: readonly [number, number];
    /** Chance that a block of uncertain state is still cached. */
    readonly uncertainBlockChance?: number;
}

/** How one candidate was scored. */
export interface CandidateScore {
    readonly endpointId: EndpointId;
    /** Weighted sum in milliseconds; smaller is better. */
    readonly score: number;
    readonly expectedFirstTokenMs: number;
    readonly tokensToCompute: number;
    readonly nearBest: boolean;
}

/** The chosen endpoint and why. */
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
    const limit = best.score + measureRange(best, usable, options);
    const nearBest = ordered.filter(entry => entry.score <= limit);
    const holders = nearBest.filter(({ candidate: { match } }) => match.certainBlocks + match.uncertainBlocks > commonBlocks);
    // Holders of a much used prefix share its prompts evenly; without a holder all hosts choose the same endpoint for the prefix.
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
// A second copy of a long prompt costs about as much as waiting for the first one, so hosts agree on one endpoint within that time.
const defaultNearBestComputeShare = 1;
const defaultNearBestNoiseShare = 2.5;
// A gap hides a few evictions among thousands of blocks.
const defaultUncertainBlockChance = 0.9;

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
    const chance = options.uncertainBlockChance ?? defaultUncertainBlockChance;
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

/** Time until an endpoint starts on a new prompt: prompts before it, and a batch slot when all are taken. */
function expectWaitMs(load: LoadEstimate): number {
    const promptMs = 1000 * load.waitingPromptTokens / load.tokensPerSecond;
    return promptMs + expectMissingSlots(load) * load.slotHoldMs / load.batchSlots;
}

/**
 * Expected number of requests that have to end before a slot is free. Since the report, requests have started and ended
 * as many times as slots turn over, so the count is uncertain by the square root of that number, and the expectation
 * rises gradually before all slots are taken. The softplus stands in for the expectation of a truncated normal.
 */
function expectMissingSlots(load: LoadEstimate): number {
    const missing = load.requests + 1 - load.batchSlots;
    const spread = 0.6 * measureSpread(load);
    if (spread < 0.01 || missing > 20 * spread) {
        return Math.max(0, missing);
    }
    return spread * Math.log1p(Math.exp(missing / spread));
}

// Without an upper limit the congestion would be infinite in a full fleet.
const defaultCongestionRange: readonly [number, number] = [0, 4];

/**
 * How much a millisecond of computation delays other requests, from the part u of all batch slots that is taken: u / (1 - u).
 * Without it a loaded fleet computes prompts again to avoid queues, and the computation makes the queues longer.
 */
function measureCongestion(candidates: readonly RoutingCandidate[], [least, most]: readonly [number, number]): number {
    const slots = candidates.reduce((sum, { load }) => sum + load.batchSlots, 0);
    const requests = candidates.reduce((sum, { load }) => sum + load.requests, 0);
    const free = Math.max(0, slots - requests);
    return slots === 0 ? least : Math.max(least, Math.min(most, requests / Math.max(1, free)));
}

/**
 * Leading blocks that most candidates hold, such as a common system prompt. Ranking by one of them would send all prompts
 * to the same endpoint; ranking by a much later block would separate prompts that share a document.
 */
function countCommonBlocks(candidates: readonly RoutingCandidate[]): number {
    const known = candidates.map(({ match }) => match.certainBlocks + match.uncertainBlocks).sort((left, right) => left - right);
    return known[Math.floor(known.length / 2)] ?? 0;
}

/**
 * How much worse than the best a candidate may be and still be near-best. Differences below the uncertainty of late reports
 * mean nothing; hosts that followed them would all rush to the endpoint that the same old report shows idle. Of the near-best
 * the first by rendezvous hashing is taken, which spreads prompts evenly and keeps those with a common document together.
 */
function measureRange(
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

/** Uncertainty of the wait for a slot, in milliseconds; small while many slots are free. */
function measureWaitNoise(load: LoadEstimate): number {
    const spread = measureSpread(load);
    const missing = load.requests + 1 - load.batchSlots;
    const chanceOfWait = spread < 0.01 ? 0 : 1 / (1 + Math.exp(-missing / spread));
    return chanceOfWait * spread * load.slotHoldMs / load.batchSlots;
}

/** Uncertainty of the number of requests since the report: the square root of the starts and ends expected since. */
function measureSpread(load: LoadEstimate): number {
    const turnover = Number.isFinite(load.ageMs) ? load.batchSlots * Math.max(0, load.ageMs) / load.slotHoldMs : 0;
    return Math.sqrt(2 * turnover);
}
