import type { AdmittedRequest } from "./admitted.js";
import type { RequestContext } from "./context.js";
import { priorityOf } from "./endpointselection.js";
import { sendErrorResponse } from "./errorresponse.js";
import { requestEvents as events } from "./event.js";
import type { CallerResponder } from "./responder.js";

/** How a request ended for its caller. */
export type RequestOutcome = "answered" | "refused" | "failed" | "cut" | "gone";

/** The end of a request. */
export interface RequestEnding {
    readonly outcome: RequestOutcome;
    readonly reason: string;
    /** Number of attempts. */
    readonly sends: number;
    /** Number of events that were forwarded to the caller. */
    readonly events: number;
    /** Monotonic time of the first event. */
    readonly firstEventMs: number | undefined;
}

/** Logs and counts the end of a request; a refused one is not charged to its customer's limit. */
export function recordEnding(context: RequestContext, request: AdmittedRequest, ending: RequestEnding): void {
    const { clock, log, metrics, quota } = context;
    const { caller, requestId, route, service, customer, configurationVersion, chargedUnits } = request;
    const { outcome, firstEventMs, ...details } = ending;
    if (outcome === "refused" && customer !== undefined) {
        quota.refund(customer.name, chargedUnits, caller.arrivedMs, clock.monotonicMs());
    }
    const elapsedMs = clock.monotonicMs() - caller.arrivedMs;
    metrics.recordRequest(service, outcome, elapsedMs);
    log.write(events.requestEnded, {
        requestId,
        outcome,
        ...details,
        route: route.name,
        service,
        customer: customer?.name,
        configurationVersion,
        firstEventMs: firstEventMs === undefined ? undefined : Math.round(firstEventMs - caller.arrivedMs),
        elapsedMs: Math.round(elapsedMs),
    });
}

/** Tells the caller that its request was not run and when to come back. */
export function sendRefusal(
    context: RequestContext,
    request: AdmittedRequest,
    responder: CallerResponder,
    { reason, retryAfterMs }: { readonly reason: string; readonly retryAfterMs: number; },
): void {
    sendErrorResponse(responder, {
        status: 503,
        code: "request.refused",
        message: `The request was not run: ${reason}.`,
        executed: "no",
        retryAfterMs,
    });
    context.log.write(events.requestRefused, {
        requestId: request.requestId,
        service: request.service,
        reason,
        retryAfterMs: Math.round(retryAfterMs),
        priority: priorityOf(request),
        route: request.route.name,
    });
}

/** Tells the caller that its request may have run and has no complete answer; 503 would say that it has not run. */
export function sendFailure(
    responder: CallerResponder,
    { reason, status }: { readonly reason: string; readonly status: number; },
): void {
    sendErrorResponse(responder, {
        status: status === 503 ? 502 : status,
        code: status === 504 ? "request.timeLimit" : "request.failed",
        message: `No complete answer: ${reason}.`,
        executed: "unknown",
    });
}
