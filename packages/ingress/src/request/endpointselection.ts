import type { IngressRoute } from "@filbertrelay/configuration";
import type { EndpointId } from "@filbertrelay/kernel";
import { chooseLowestCostEndpoint, consideredShare } from "@filbertrelay/policy/ingress";
import type { EndpointChoice } from "@filbertrelay/policy/ingress";
import type { EndpointRecord } from "../contract.js";
import type { AdmittedRequest } from "./admitted.js";
import type { RequestContext } from "./context.js";

/** Assumed time for which a request occupies a slot of an endpoint, until requests of its service have been measured. */
const defaultServiceMs = 700;
/**
 * Engine time per requested output token. A generated token adds about 0.12 ms to a step, and requests generate about a third of
 * their stated limit.
 */
const outputTokenMs = 0.04;

/** Short, since the cause may be transient, such as a configuration that is still being loaded. */
export const defaultRetryAfterMs = 250;

/** The endpoint that an attempt is sent to, with the estimates behind the choice. */
export interface SelectedEndpoint {
    readonly endpoint: EndpointRecord;
    readonly choice: EndpointChoice;
}

/** Chooses one of the endpoints that was not tried yet; `undefined` without a candidate. */
export function selectEndpoint(
    context: RequestContext,
    request: AdmittedRequest,
    endpoints: readonly EndpointRecord[],
    tried: ReadonlySet<EndpointId>,
): SelectedEndpoint | undefined {
    const choice = chooseEndpoint(context, request, { endpoints, tried });
    const endpoint = endpoints.find(({ endpointId }) => endpointId === choice?.endpointId);
    return choice === undefined || endpoint === undefined ? undefined : { endpoint, choice };
}

/** The endpoints of a service that take requests from this host now. */
export function listOpenEndpoints(
    { endpoints, limits, notices, rooms, clock }: RequestContext,
    service: string,
): readonly EndpointRecord[] {
    const nowMs = clock.monotonicMs();
    const open = endpoints.usable(service).filter(endpoint =>
        !notices.isLeaving(endpoint) && notices.pauseMs(endpoint, nowMs) === 0 && limits.isOpen(endpoint.endpointId, nowMs)
    );
    return rooms.select(service, open, nowMs);
}

/** Time until an endpoint of a service may take a request that none takes now, for the caller's next try. */
export function estimateRetryAfterMs(
    { endpoints, notices, rooms, timings, clock }: RequestContext,
    service: string,
): number {
    const nowMs = clock.monotonicMs();
    const pauses = endpoints.usable(service).filter(endpoint => !notices.isLeaving(endpoint)).map(endpoint =>
        notices.pauseMs(endpoint, nowMs)
    );
    const roomMs = rooms.retryAfterMs(service, timings.slotHoldMs(service) ?? defaultServiceMs, nowMs) ?? 0;
    return Math.max(defaultRetryAfterMs, roomMs, pauses.length === 0 ? 0 : Math.min(...pauses));
}

/** Whether a request of a route may be executed on a second endpoint. */
export function isRepeatable({ kind, isResumable, maximumAttempts }: IngressRoute): boolean {
    return maximumAttempts > 1 && (kind === "idempotent" || (kind === "stream" && isResumable));
}

/** The priority of a request; that of its customer takes precedence over that of its route. */
export function priorityOf({ customer, route }: AdmittedRequest): number {
    return customer?.priority ?? route.priority;
}

function chooseEndpoint(
    { health, loads, paces, promptCaches, clock, homeDomain, timings }: RequestContext,
    request: AdmittedRequest,
    { endpoints, tried }: { readonly endpoints: readonly EndpointRecord[]; readonly tried: ReadonlySet<EndpointId>; },
): EndpointChoice | undefined {
    const { description, service, requestId } = request;
    const nowMs = clock.monotonicMs();
    const parts = description.prompt?.parts ?? [];
    const share = consideredShare(endpoints.length);
    const estimateLoad = loads.estimator(priorityOf(request), nowMs);
    const candidates = endpoints.map(endpoint => ({
        endpointId: endpoint.endpointId,
        failureDomain: endpoint.failureDomain,
        capacity: endpoint.capacity,
        isQuarantined: health.isQuarantined(endpoint.endpointId, nowMs),
        observe: () => ({
            load: estimateLoad(endpoint.endpointId),
            cachedTokens: endpoint.hasPromptCache ? promptCaches.cachedTokens(endpoint.endpointId, parts) : 0,
            failureRatio: health.failureRatio(endpoint.endpointId, nowMs),
            allowance: paces.allowance(endpoint, share, nowMs),
        }),
    }));
    return chooseLowestCostEndpoint(candidates, {
        parts,
        promptTokens: description.prompt?.inputTokens ?? 0,
        requestId,
        tried,
        homeDomain,
        tokenMs: timings.tokenMs(service),
        slotHoldMs: timings.slotHoldMs(service) ?? defaultServiceMs,
        objectiveMs: request.route.objectiveMs,
        isRepeatable: isRepeatable(request.route),
    });
}

/** Records the engine time that the prompt and its output will take, also for requests that are then rejected. */
export function recordDemand(
    { timings, demand, clock }: RequestContext,
    { description: { prompt }, service }: AdmittedRequest,
    choice: EndpointChoice | undefined,
): void {
    if (prompt !== undefined) {
        const tokensToCompute = choice?.tokensToCompute ?? prompt.inputTokens;
        const workMs = tokensToCompute * timings.tokenMs(service) + prompt.outputTokens * outputTokenMs;
        demand.recordWork(service, workMs, clock.monotonicMs());
    }
}
