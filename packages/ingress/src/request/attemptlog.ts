import type { AdmittedRequest } from "./admitted.js";
import type { Attempt, AttemptResult } from "./attempt.js";
import type { PlannedAttempt } from "./attemptplanner.js";
import type { RequestContext } from "./context.js";
import { requestEvents as events } from "./event.js";

/** What the log lines of a request's attempts need. */
export interface LoggedRequest {
    readonly context: Pick<RequestContext, "log" | "stopLeftMs">;
    readonly request: AdmittedRequest;
}

/** Logs that an attempt begins; `remainingMs` is the time left for it. */
export function logAttemptStarted(
    { context, request }: LoggedRequest,
    { endpoint, choice, way }: PlannedAttempt,
    { number, remainingMs }: { readonly number: number; readonly remainingMs: number; },
): void {
    context.log.write(events.attemptStarted, {
        requestId: request.requestId,
        endpoint: endpoint.endpointId,
        softwareVersion: endpoint.softwareVersion,
        attempt: number,
        relay: way.type === "relay" ? way.relay : undefined,
        expectedStartMs: Math.round(choice.expectedStartMs),
        tokensToCompute: Math.round(choice.tokensToCompute),
        running: choice.running,
        candidates: choice.candidates,
        remainingMs,
    });
}

/** Logs an attempt whose result the caller doesn't get. */
export function logAttemptFailed(
    { context, request }: LoggedRequest,
    attempt: Attempt,
    { result, isRepeated }: { readonly result: AttemptResult; readonly isRepeated: boolean; },
): void {
    context.log.write(events.attemptFailed, {
        requestId: request.requestId,
        endpoint: attempt.endpointId,
        result: result.type,
        detail: result.type === "answered" ? `status ${result.status}` : result.detail,
        hasProgress: attempt.hasProgress,
        parts: request.description.prompt?.parts.map(({ id }) => id),
        isRepeated,
    });
}

/** Logs what was decided when an endpoint had been silent for a time; `forwarded` counts the events that the caller has. */
export function logSilence(
    { context, request }: LoggedRequest,
    attempt: Attempt | undefined,
    { silentMs, forwarded, decision }: { readonly silentMs: number; readonly forwarded: number; readonly decision: string; },
): void {
    const stopLeftMs = context.stopLeftMs();
    context.log.write(events.endpointSilent, {
        requestId: request.requestId,
        endpoint: attempt?.endpointId,
        silentMs: Math.round(silentMs),
        events: forwarded,
        decision,
        stopLeftMs: Number.isFinite(stopLeftMs) ? Math.round(stopLeftMs) : undefined,
    });
}
