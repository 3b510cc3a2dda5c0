/** What is known of an attempt whose endpoint is silent. */
export interface AwaitedAnswer {
    readonly kind: "idempotent" | "nonIdempotent" | "stream";
    /** Whether the request may run on another endpoint. */
    readonly isRepeatable: boolean;
    readonly objectiveMs: number;
    readonly pauseLimitMs: number;
    /** Expected time to the first event when the request was sent. */
    readonly expectedStartMs: number;
    /** Whether events have arrived. */
    readonly hasStarted: boolean;
}

/** Part of the objective after which a second endpoint can still answer in time. */
const repeatShare = 0.65;
/** Lower limits keep ordinary variance of the work from being taken for a failure. */
const shortestWaitMs = 180;
const shortestStreamWaitMs = 700;
/** A prompt may take this many times its estimate before the engine is taken to be stuck. */
const startFactor = 3;
/** Pauses of a stream beyond this many times the limit are not on time any more, so that another engine can only help. */
const pauseFactor = 1.6;

/** How long an endpoint may be silent before the request is sent to another one; `undefined` when it must not be. */
export function limitSilence(answer: AwaitedAnswer): number | undefined {
    if (!answer.isRepeatable) {
        return undefined;
    }
    if (answer.kind !== "stream") {
        return Math.max(shortestWaitMs, answer.objectiveMs * repeatShare);
    }
    if (answer.hasStarted) {
        return answer.pauseLimitMs * pauseFactor;
    }
    return Math.max(shortestStreamWaitMs, answer.objectiveMs * repeatShare, answer.expectedStartMs * startFactor);
}
