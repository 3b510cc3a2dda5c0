import type { EngineEnd, EngineListener, EngineSubmission } from "./engine.js";

/** A request that waits or runs in an emulated engine. */
export interface Sequence {
    readonly submission: EngineSubmission;
    readonly listener: EngineListener;
    readonly answerTokens: number;
    readonly contextTokens: number;
    readonly privateBlocks: number;
    /** Tokens not cached when the request arrived; an estimate for load reports while it waits. */
    readonly estimatedTokens: number;
    cachedTokens: number;
    computedTokens: number;
    pinnedBlocks: number;
    generatedTokens: number;
}

/** Context tokens that are neither cached nor computed yet. */
export function missingTokens(sequence: Sequence): number {
    return sequence.contextTokens - sequence.cachedTokens - sequence.computedTokens;
}

/** What the listener is told at the end of a request. */
export function describeEnd(sequence: Sequence, reason: EngineEnd["reason"]): EngineEnd {
    return {
        reason,
        promptTokens: sequence.submission.prompt.promptTokens,
        cachedTokens: sequence.cachedTokens,
        computedTokens: sequence.computedTokens,
        generatedTokens: sequence.generatedTokens,
    };
}
