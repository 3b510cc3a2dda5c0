import type { EndpointId } from "@filbertrelay/kernel";

/** Why a stream doesn't go on where it was. */
export type InterruptionCause = "stalled" | "connectionLost" | "crashed" | "reclaimed" | "refused";

/** An interrupted stream. */
export interface InterruptedStream {
    readonly cause: InterruptionCause;
    readonly endpointId: EndpointId;
    readonly promptTokens: number;
    /** Tokens forwarded to the caller or buffered for it; the next one has this offset plus one. */
    readonly forwardedTokens: number;
    /** New connections to the same engine since the last token. */
    readonly reconnects: number;
    /** Engines tried after the first one. */
    readonly attemptsElsewhere: number;
    /** Time until the caller gives up. */
    readonly remainingMs: number;
    /** The retry budget allows another engine. */
    readonly retryAllowed: boolean;
}

/** What to do with an interrupted stream. */
export type RecoveryPlan =
    | { readonly action: "reconnect"; readonly endpointId: EndpointId; readonly offset: number; readonly recomputedTokens: 0; }
    | {
        readonly action: "resumeElsewhere";
        readonly excluded: EndpointId;
        readonly offset: number;
        /** Prompt and forwarded tokens that another engine computes again, less what its cache holds. */
        readonly recomputedTokens: number;
        readonly cause: InterruptionCause;
    }
    /** The retry budget is used up; ask again after this time, when first attempts have refilled it. */
    | { readonly action: "wait"; readonly retryAfterMs: number; }
    | { readonly action: "fail"; readonly reason: "deadline" | "attempts" | "retryBudget"; };

/** Options of `planRecovery`. */
export interface RecoveryOptions {
    /** New connections to the same engine before another one is tried; 1 by default. */
    readonly maximumReconnects?: number;
    /** Engines tried after the first one; 4 by default. */
    readonly maximumAttemptsElsewhere?: number;
    /** Wait for the retry budget to refill; 500 ms by default. */
    readonly budgetWaitMs?: number;
}

/**
 * Decides how a stream goes on. A silent or lost connection is replaced by a new one first, since the engine may still
 * generate. A stream that has forwarded tokens is resumed without regard to the retry budget: its caller is reading. One
 * without a token waits for the budget instead of failing, since losing a request is worse than answering it late.
 */
export function planRecovery(stream: InterruptedStream, options: RecoveryOptions = {}): RecoveryPlan {
    if (stream.remainingMs <= 0) {
        return { action: "fail", reason: "deadline" };
    }
    const mayStillRun = stream.cause === "stalled" || stream.cause === "connectionLost";
    if (mayStillRun && stream.reconnects < (options.maximumReconnects ?? 1)) {
        return { action: "reconnect", endpointId: stream.endpointId, offset: stream.forwardedTokens, recomputedTokens: 0 };
    }
    if (stream.attemptsElsewhere >= (options.maximumAttemptsElsewhere ?? 4)) {
        return { action: "fail", reason: "attempts" };
    }
    if (!stream.retryAllowed && stream.forwardedTokens === 0 && stream.cause !== "reclaimed") {
        const retryAfterMs = options.budgetWaitMs ?? 500;
        return stream.remainingMs > retryAfterMs ? { action: "wait", retryAfterMs } : { action: "fail", reason: "retryBudget" };
    }
    return {
        action: "resumeElsewhere",
        excluded: stream.endpointId,
        offset: stream.forwardedTokens,
        recomputedTokens: stream.promptTokens + stream.forwardedTokens,
        cause: stream.cause,
    };
}
