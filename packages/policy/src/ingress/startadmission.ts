/** What is known of a request when it asks to be started. */
export interface StartRequest {
    /** Expected time from now to the first event or to the start of the work. */
    readonly expectedStartMs: number;
    /** Time that the work itself takes after its start, for requests without a stream. */
    readonly workMs: number;
    /** Time since the caller's request arrived. */
    readonly elapsedMs: number;
    /** Time within which the answer has its full worth. */
    readonly objectiveMs: number;
    /** Time that the caller still waits. */
    readonly remainingMs: number;
}

/** Whether a request is started or refused without having run. */
export type StartDecision =
    | { readonly started: true; }
    | { readonly started: false; readonly retryAfterMs: number; readonly reason: "objective" | "deadline"; };

/**
 * Part of the objective that the estimate may take. Work that starts later is worth little to its caller and delays others
 * that could still be in time.
 */
const objectiveShare = 0.9;
/** Bounds of the delay that a refused caller is asked to wait. */
const shortestRetryMs = 60;
/** Callers honour a delay up to a third of the time that they have left. */
const longestRetryShare = 0.3;

/** Refuses requests that would start too late, at once and with the time at which a place is expected. */
export function decideStart(request: StartRequest): StartDecision {
    const neededMs = request.expectedStartMs + request.workMs;
    const limitMs = Math.min(request.objectiveMs * objectiveShare - request.elapsedMs, request.remainingMs * objectiveShare);
    if (neededMs <= limitMs) {
        return { started: true };
    }
    const retryAfterMs = Math.min(
        request.remainingMs * longestRetryShare,
        Math.max(shortestRetryMs, neededMs - request.objectiveMs / 2),
    );
    return { started: false, retryAfterMs, reason: neededMs > request.remainingMs ? "deadline" : "objective" };
}
