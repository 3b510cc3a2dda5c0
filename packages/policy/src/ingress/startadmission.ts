/** A request that is to be started. */
export interface StartRequest {
    /** Expected time from now to the first event or to the start of the work. */
    readonly expectedStartMs: number;
    /** Processing time after the start, for requests without a stream. */
    readonly workMs: number;
    /** Time since the caller's request arrived. */
    readonly elapsedMs: number;
    /** Latency objective of the response. */
    readonly objectiveMs: number;
    /** Time until the caller's deadline. */
    readonly remainingMs: number;
    /** Whether no other request may soon show that the service has become faster. */
    readonly isTrialDue: boolean;
}

/** Whether the request is started, perhaps as a trial of a service that was too slow, or refused without running. */
export type StartDecision =
    | { readonly started: true; readonly isTrial: boolean; }
    | { readonly started: false; readonly retryAfterMs: number; readonly reason: "objective" | "deadline"; };

/**
 * Fraction of the objective that the estimate may use. A request that starts later is of little use to its caller and delays
 * others that could still meet their objective.
 */
const objectiveShare = 0.9;
/** Lower bound of the retry delay sent to a refused caller. */
const shortestRetryMs = 60;
/** Upper bound, as a fraction of the remaining time: callers honour a delay of up to a third of it. */
const longestRetryShare = 0.3;

/** Refuses a request that would start too late at once, with the delay after which a slot is expected to be free. */
export function decideStart(request: StartRequest): StartDecision {
    const neededMs = request.expectedStartMs + request.workMs;
    const limitMs = Math.min(request.objectiveMs * objectiveShare - request.elapsedMs, request.remainingMs * objectiveShare);
    if (neededMs <= limitMs) {
        return { started: true, isTrial: false };
    }
    if (request.isTrialDue && request.expectedStartMs <= limitMs) {
        return { started: true, isTrial: true };
    }
    const retryAfterMs = Math.min(
        request.remainingMs * longestRetryShare,
        Math.max(shortestRetryMs, neededMs - request.objectiveMs / 2),
    );
    return { started: false, retryAfterMs, reason: neededMs > request.remainingMs ? "deadline" : "objective" };
}
