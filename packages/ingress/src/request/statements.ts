import type { EndpointRecord, ResponseDescription } from "../contract.js";
import type { RequestContext } from "./context.js";
import { requestEvents as events } from "./event.js";

/** What is needed to record the statements of endpoints. */
export type StatementContext = Pick<RequestContext, "limits" | "rooms" | "notices" | "clock" | "log" | "announce">;

/** Records what an endpoint says of itself beside an answer that this host passes on. */
export function recordStatements(
    { limits, rooms, notices, clock, log, announce }: StatementContext,
    endpoint: EndpointRecord,
    { limitPerSecond, brittleRejections, isFull, isLeaving, pauseMs, invalid, requestId }: ResponseDescription,
): void {
    const { endpointId } = endpoint;
    if (invalid !== undefined) {
        log.write(events.statementInvalid, { requestId, endpoint: endpointId, headers: invalid });
    }
    if (isLeaving && notices.recordLeaving(endpoint)) {
        log.write(events.endpointLeaving, { endpoint: endpointId });
    }
    if (pauseMs !== undefined) {
        notices.recordPause(endpoint, clock.monotonicMs() + pauseMs);
        log.write(events.endpointPaused, { endpoint: endpointId, pauseMs });
    }
    rooms.recordAnswer(endpoint, { brittleRejections, isFull }, clock.monotonicMs());
    if (limits.recordAnswer(endpointId, limitPerSecond, clock.monotonicMs())) {
        log.write(events.limitChanged, { endpoint: endpointId, perSecond: limitPerSecond });
        announce();
    }
}
