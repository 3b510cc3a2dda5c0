import type { IngressCustomer, IngressRoute } from "@filbertrelay/configuration";
import { chooseService, rendezvousScore } from "@filbertrelay/policy/ingress";
import type { RequestDescription } from "../contract.js";
import { describeError } from "../describeerror.js";
import { callersKey } from "../fleet/report.js";
import type { ActiveConfiguration } from "../state/configuration.js";
import { RequestBoundary } from "./boundary.js";
import type { RequestContext } from "./context.js";
import { sendErrorResponse } from "./errorresponse.js";
import type { ErrorResponse } from "./errorresponse.js";
import { requestEvents as events } from "./event.js";
import type { CallerRequest, CallerResponder } from "./responder.js";
import { RequestTask, stoppingRetryMs } from "./task.js";

/** Time within which a host obtains a configuration when the store or a peer responds. */
const noConfigurationRetryMs = 300;
/** Estimated processor time of a request: a stream of ten events takes 5 ms, including the slower start of the process. */
export const requestProcessorMs = 6;

type Identification =
    | { readonly ok: true; readonly customer: IngressCustomer | undefined; }
    | { readonly ok: false; };

/** Routes, authenticates and rate-limits each request, then starts its execution. */
export class RequestPipeline {
    readonly #context: RequestContext;
    readonly #tasks = new Set<RequestTask>();

    constructor(context: RequestContext) {
        this.#context = context;
    }

    /** Ends all requests in progress with a response, or visibly incomplete, since the host stops. */
    endAll(): void {
        this.#tasks.forEach(task => task.endForStop());
    }

    /** Goes on elsewhere with requests that wait for endpoints to which this host has lost its links. */
    leaveCutLinks(): void {
        this.#tasks.forEach(task => task.leaveCutLink());
    }

    /** Accepts a fully received request; the responder gets exactly one final response. */
    accept(caller: CallerRequest, responder: CallerResponder): void {
        const { log, metrics } = this.#context;
        const boundary = new RequestBoundary(error => {
            metrics.recordInternalError("request");
            log.write(events.requestBroken, { target: caller.target.slice(0, 200), error: describeError(error) });
            responder.abort();
        });
        boundary.run(() => this.#accept(caller, responder));
    }

    #accept(caller: CallerRequest, responder: CallerResponder): void {
        const { configuration, callerWork, clock } = this.#context;
        callerWork.recordWork(callersKey, requestProcessorMs, clock.monotonicMs());
        const active = configuration.current();
        if (active === undefined) {
            this.#refuse(
                caller,
                responder,
                createRefusal(503, "host.notReady", "No configuration is known yet.", noConfigurationRetryMs),
            );
            return;
        }
        const description = this.#context.dialect.describeRequest(caller.headers);
        const route = active.routes.find(caller.hostname, caller.target);
        if (route === undefined) {
            this.#refuse(
                caller,
                responder,
                createRefusal(404, "route.unknown", "No route matches the host name and path."),
                description,
            );
            return;
        }
        const identified = identify(active, route, description.apiKey);
        if (!identified.ok) {
            this.#refuse(caller, responder, createRefusal(401, "key.unknown", "The key is not known."), description);
            return;
        }
        if (description.requestId === undefined) {
            this.#refuse(
                caller,
                responder,
                createRefusal(400, "request.noId", "The request has no id, or more than one."),
                description,
            );
            return;
        }
        this.#start(caller, responder, active, route, identified.customer, { ...description, requestId: description.requestId });
    }

    #start(
        caller: CallerRequest,
        responder: CallerResponder,
        active: ActiveConfiguration,
        route: IngressRoute,
        customer: IngressCustomer | undefined,
        description: RequestDescription & { readonly requestId: string; },
    ): void {
        const { clock, quota, reach } = this.#context;
        // Drawn by the request that began the stream, so that a take-up goes to the same service.
        const firstId = description.lastEventId === undefined ? undefined : description.resumedRequestId;
        const service = chooseService(route, rendezvousScore("service", firstId ?? description.requestId));
        if (service === undefined) {
            this.#refuse(
                caller,
                responder,
                createRefusal(503, "route.noService", "The route has no service.", noConfigurationRetryMs),
                description,
            );
            return;
        }
        if (this.#context.isRefusing()) {
            this.#refuse(
                caller,
                responder,
                createRefusal(503, "host.stopping", "This host stops.", stoppingRetryMs),
                description,
            );
            return;
        }
        const chargedUnits = customer === undefined ? 0 : countUnits(customer, description);
        if (customer?.limit !== undefined) {
            const decision = quota.tryAcquire(customer.name, customer.limit, chargedUnits, reach(), clock.monotonicMs());
            if (!decision.admitted) {
                this.#refuse(
                    caller,
                    responder,
                    createRefusal(429, "customer.limit", "The customer's limit is used up.", decision.retryAfterMs),
                    description,
                );
                return;
            }
        }
        const waitMs = Math.min(route.timeLimitMs, description.waitMs ?? Infinity);
        const task = new RequestTask(
            this.#context,
            {
                caller,
                description,
                requestId: description.requestId,
                route,
                service,
                customer,
                chargedUnits,
                configurationVersion: active.configuration.version,
                deadlineMs: caller.arrivedMs + waitMs,
            },
            responder,
            () => this.#tasks.delete(task),
        );
        this.#tasks.add(task);
        task.start();
    }

    #refuse(caller: CallerRequest, responder: CallerResponder, answer: ErrorResponse, description?: RequestDescription): void {
        sendErrorResponse(responder, answer);
        this.#context.metrics.recordRefusal(answer.code);
        this.#context.log.write(events.requestRefused, {
            requestId: description?.requestId,
            reason: answer.code,
            status: answer.status,
            hostname: caller.hostname,
            target: caller.target.slice(0, 200),
            retryAfterMs: answer.retryAfterMs,
            configurationVersion: this.#context.configuration.current()?.configuration.version,
        });
    }
}

function createRefusal(status: number, code: string, message: string, retryAfterMs?: number): ErrorResponse {
    return { status, code, message, executed: "no", ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

function identify(active: ActiveConfiguration, route: IngressRoute, apiKey: string | undefined): Identification {
    if (active.customersByKey === undefined) {
        return { ok: true, customer: undefined };
    }
    const customer = apiKey === undefined ? undefined : active.customersByKey.get(apiKey);
    return customer === undefined && !route.isPublic ? { ok: false } : { ok: true, customer };
}

/** The requests or tokens that a request counts towards its customer's limit. */
function countUnits(customer: IngressCustomer, description: RequestDescription): number {
    if (customer.limit?.unit !== "tokens") {
        return 1;
    }
    const { prompt } = description;
    return prompt === undefined ? customer.limit.unstatedTokens : prompt.inputTokens + prompt.outputTokens;
}
