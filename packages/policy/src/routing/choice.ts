import type { EndpointId, FailureDomainId, Issue, Outcome } from "@filbertrelay/kernel";
import { failure, success } from "@filbertrelay/kernel";
import { rendezvousScore } from "../rendezvous.js";
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
    /** Candidates whose score is within this many milliseconds of the best one are near-best. */
    readonly nearBestMs?: number;
    /** Upper limit of near-best candidates. */
    readonly nearBestLimit?: number;
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
    const scored = usable.map(candidate => ({ candidate, ...scoreCandidate(prompt, candidate, options) }));
    scored.sort((left, right) => left.score - right.score);
    const best = scored[0];
    if (best === undefined) {
        return failure({ code: "routing.noCandidate", message: "No endpoint can take the request." });
    }
    const limit = best.score + (options.nearBestMs ?? defaultNearBestMs);
    const nearBest = scored.filter(entry => entry.score <= limit).slice(0, options.nearBestLimit ?? defaultNearBestLimit);
    const affinityKey = findAffinityKey(prompt, usable);
    const chosen = nearBest.reduce((left, right) =>
        rendezvousScore(affinityKey, right.candidate.endpointId) > rendezvousScore(affinityKey, left.candidate.endpointId) ?
            right :
            left
    );
    return success({
        endpointId: chosen.candidate.endpointId,
        failureDomain: chosen.candidate.failureDomain,
        tokensToCompute: chosen.tokensToCompute,
        affinityKey,
        explanation: scored.map(entry => ({
            endpointId: entry.candidate.endpointId,
            score: entry.score,
            expectedFirstTokenMs: entry.expectedFirstTokenMs,
            tokensToCompute: entry.tokensToCompute,
            nearBest: nearBest.includes(entry),
        })),
    });
}

const defaultNearBestMs = 60;
const defaultNearBestLimit = 4;
const defaultUncertainBlockChance = 0.6;

function selectUsable(candidates: readonly RoutingCandidate[], options: RoutingOptions): readonly RoutingCandidate[] {
    const allowed = candidates.filter(candidate => options.excluded?.has(candidate.endpointId) !== true);
    const preferred = allowed.filter(candidate => options.avoidedFailureDomains?.has(candidate.failureDomain) !== true);
    return preferred.length > 0 ? preferred : allowed;
}

function scoreCandidate(
    prompt: PromptBlocks,
    candidate: RoutingCandidate,
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
    const score = total === 0 ? expectedFirstTokenMs : (latency * expectedFirstTokenMs + cost * costMs) / total;
    return { score, expectedFirstTokenMs, tokensToCompute };
}

/** Time until an endpoint starts on a new prompt: prompts before it, and a batch slot when all are taken. */
function expectWaitMs(load: LoadEstimate): number {
    const promptMs = 1000 * load.waitingPromptTokens / load.tokensPerSecond;
    const missingSlots = Math.max(0, load.requests + 1 - load.batchSlots);
    return promptMs + missingSlots * load.slotHoldMs / load.batchSlots;
}

/**
 * The first block that most candidates don't hold. Blocks that most hold, such as a common system prompt, would send
 * all prompts to the same endpoint; later blocks would separate prompts that share a document.
 */
function findAffinityKey(prompt: PromptBlocks, candidates: readonly RoutingCandidate[]): string {
    const known = candidates.map(({ match }) => match.certainBlocks + match.uncertainBlocks).sort((left, right) => left - right);
    const commonBlocks = known[Math.floor(known.length / 2)] ?? 0;
    return prompt.blocks[commonBlocks] ?? prompt.promptHash;
}
