/** A request that may be sent to an endpoint while the host stops; times are milliseconds. */
export interface StopRequest {
    /** Time until the host must have ended all responses. */
    readonly stopLeftMs: number;
    /** Time until the request gets its final response in any case. */
    readonly timeLimitLeftMs: number;
    /** Expected time until an endpoint starts with it. */
    readonly expectedStartMs: number;
    /** Duration that few requests of the route exceed; `undefined` until some have been measured. */
    readonly longDurationMs: number | undefined;
    /** Whether the caller may send it once more after it was cut. */
    readonly isRepeatable: boolean;
}

/** Margin for durations beyond those that were measured. */
const durationFactor = 1.2;

/** Whether a request ends before the host stops: certainly if it may not be repeated, else in all likelihood. */
export function endsBeforeStop(request: StopRequest): boolean {
    const { stopLeftMs, timeLimitLeftMs, expectedStartMs, longDurationMs, isRepeatable } = request;
    const likelyMs = isRepeatable && longDurationMs !== undefined ?
        expectedStartMs + longDurationMs * durationFactor :
        timeLimitLeftMs;
    return Math.min(likelyMs, timeLimitLeftMs) <= stopLeftMs;
}
