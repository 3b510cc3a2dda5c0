import { decideStart, endsBeforeStop } from "@filbertrelay/policy/ingress";
import type { EndpointChoice, StartDecision } from "@filbertrelay/policy/ingress";
import type { AdmittedRequest } from "./admitted.js";
import type { RequestContext } from "./context.js";

/** Decides whether a request is worth starting at the endpoint that was chosen for it. */
export function decideAdmission(
    { clock, timings }: RequestContext,
    { caller, route, service, deadlineMs }: AdmittedRequest,
    choice: EndpointChoice,
): StartDecision {
    const nowMs = clock.monotonicMs();
    return decideStart({
        expectedStartMs: choice.expectedStartMs,
        workMs: route.kind === "stream" ? 0 : timings.presentSlotHoldMs(service, nowMs) ?? 0,
        elapsedMs: nowMs - caller.arrivedMs,
        objectiveMs: route.objectiveMs,
        remainingMs: deadlineMs - nowMs,
        isTrialDue: timings.isTrialDue(service, nowMs),
    });
}

/** Whether a request, or one more attempt, ends before this host stops. */
export function isEndedBeforeStop(
    { clock, timings, stopLeftMs }: RequestContext,
    { route, deadlineMs }: AdmittedRequest,
    { expectedStartMs }: EndpointChoice,
    isRepeatable: boolean,
): boolean {
    return endsBeforeStop({
        stopLeftMs: stopLeftMs(),
        timeLimitLeftMs: deadlineMs - clock.monotonicMs(),
        expectedStartMs,
        longDurationMs: timings.longDurationMs(route.name),
        isRepeatable,
    });
}
