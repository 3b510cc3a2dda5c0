/** A sound endpoint may pause for this long; its silence up to here says nothing of its health. */
export const longestSoundSilenceMs = 1_500;

/** An attempt that is waiting for data from its endpoint. */
export interface AwaitedResponse {
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

/** Fraction of the objective after which a second endpoint can still respond in time. */
const retryObjectiveShare = 0.65;
/** Lower limits, so that normal variance of the processing time is not treated as a failure. */
export const shortestTimeoutMs = 180;
const shortestStreamTimeoutMs = 700;
/** An engine counts as stuck when a prompt takes this many times its estimate. */
const startFactor = 3;
/** A stream whose pause exceeds its limit by this factor is late already, so switching to another engine can only help. */
const pauseFactor = 1.6;

/** How long an endpoint may be silent before the request is sent to another one; `undefined` if it must not be retried. */
export function computeSilenceTimeout(response: AwaitedResponse): number | undefined {
    if (!response.isRepeatable) {
        return undefined;
    }
    if (response.kind !== "stream") {
        return Math.max(shortestTimeoutMs, response.objectiveMs * retryObjectiveShare);
    }
    if (response.hasStarted) {
        // What was read is read once more elsewhere, which costs more and comes later than the end of a sound pause.
        return Math.max(longestSoundSilenceMs, response.pauseLimitMs * pauseFactor);
    }
    return Math.max(shortestStreamTimeoutMs, response.objectiveMs * retryObjectiveShare, response.expectedStartMs * startFactor);
}
