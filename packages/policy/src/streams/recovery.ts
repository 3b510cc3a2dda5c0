import type { EndpointId } from "@filbertrelay/kernel";

/** Why a stream was interrupted. */
export type InterruptionCause = "stalled" | "connectionLost" | "crashed" | "reclaimed" | "refused";

/** An interrupted stream. */
export interface InterruptedStream {
    readonly cause: InterruptionCause;
    readonly endpointId: EndpointId;
    readonly promptTokens: number;
    /** Number of tokens forwarded to the caller or buffered for it; the next token's offset is one more. */
    readonly forwardedTokens: number;
    /** Reconnects to the same engine since the last token. */
    readonly reconnects: number;
    /** Number of other engines tried after the first one. */
    readonly attemptsElsewhere: number;
    /** Time until the caller's deadline. */
    readonly remainingMs: number;
    /** Whether the retry budget allows another engine. */
    readonly retryAllowed: boolean;
}

/** The action for an interrupted stream. */
export type RecoveryPlan =
    | { readonly action: "reconnect"; readonly endpointId: EndpointId; readonly offset: number; readonly recomputedTokens: 0; }
    | {
        readonly action: "resumeElsewhere";
        readonly excluded: EndpointId;
        readonly offset: number;
        /** Prompt and forwarded tokens, which another engine recomputes except for those in its cache. */
        readonly recomputedTokens: number;
        readonly cause: InterruptionCause;
    }
    /** The retry budget is exhausted; plan again after this time, when first attempts may have refilled it. */
    | { readonly action: "wait"; readonly retryAfterMs: number; }
    | { readonly action: "fail"; readonly reason: "deadline" | "attempts" | "retryBudget"; };

/** Options of `planRecovery`. */
export interface RecoveryOptions {
    /** Maximum reconnects to the same engine before another one is tried; 1 by default. */
    readonly maximumReconnects?: number;
    /** Maximum number of other engines tried after the first one; 4 by default. */
    readonly maximumAttemptsElsewhere?: number;
    /** Delay before checking an exhausted retry budget again; 500 ms by default. */
    readonly budgetWaitMs?: number;
}

/**
 * Decides how a stream continues. After a stall or a lost connection it first reconnects, since the engine may still be
 * generating. A stream that has forwarded tokens resumes regardless of the retry budget, since its caller is reading it. One
 * without tokens waits for the budget instead of failing, since a late response is better than none.
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
