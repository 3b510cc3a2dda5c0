import type { IngressCustomer, IngressRoute } from "@filbertrelay/configuration";
import { chooseService } from "@filbertrelay/policy/ingress";
import type { RequestDescription } from "../contract.js";
import { callersKey } from "../fleet/report.js";
import type { ActiveConfiguration } from "../state/configuration.js";
import type { RequestContext } from "./context.js";
import { requestEvents as events } from "./event.js";
import { sendOwnAnswer } from "./refusal.js";
import type { OwnAnswer } from "./refusal.js";
import type { CallerRequest, CallerResponder } from "./responder.js";
import { RequestTask } from "./task.js";

/** A host without a configuration gets one within this time when the store or a peer answers. */
const noConfigurationRetryMs = 300;
/** Processor time of a request with its answer: 5 ms were measured for a stream of ten events, with the start of a process's life. */
const requestWorkMs = 6;
/** Another host takes the request at once. */
const stoppingRetryMs = 20;

type Identified =
    | { readonly ok: true; readonly customer: IngressCustomer | undefined; }
    | { readonly ok: false; };

/** Authenticates, limits and starts requests: the way of every request through the ingress. */
export class RequestPipeline {
    readonly #context: RequestContext;

    constructor(context: RequestContext) {
        this.#context = context;
    }

    /** Takes a request whose body has arrived; the responder gets exactly one final answer. */
    accept(caller: CallerRequest, responder: CallerResponder): void {
        const { configuration, callerWork, clock } = this.#context;
        callerWork.recordWork(callersKey, requestWorkMs, clock.monotonicMs());
        const active = configuration.current();
        if (active === undefined) {
            this.#refuse(
                caller,
                responder,
                notRun(503, "host.notReady", "No configuration is known yet.", noConfigurationRetryMs),
            );
            return;
        }
        const description = this.#context.dialect.describeRequest(caller.headers);
        const route = active.routes.find(caller.hostname, caller.target);
        if (route === undefined) {
            this.#refuse(
                caller,
                responder,
                notRun(404, "route.unknown", "No route matches the host name and path."),
                description,
            );
            return;
        }
        const identified = identify(active, route, description.apiKey);
        if (!identified.ok) {
            this.#refuse(caller, responder, notRun(401, "key.unknown", "The key is not known."), description);
            return;
        }
        if (description.requestId === undefined) {
            this.#refuse(caller, responder, notRun(400, "request.noId", "The request has no id, or more than one."), description);
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
        const { clock, quota, reach, draw, timings } = this.#context;
        const service = chooseService(route, draw());
        if (service === undefined) {
            this.#refuse(
                caller,
                responder,
                notRun(503, "route.noService", "The route has no service.", noConfigurationRetryMs),
                description,
            );
            return;
        }
        if (this.#context.isStopping(timings.holdMs(service) ?? 0)) {
            this.#refuse(caller, responder, notRun(503, "host.stopping", "This host stops.", stoppingRetryMs), description);
            return;
        }
        const takenUse = customer === undefined ? 0 : measureUse(customer, description);
        if (customer?.limit !== undefined) {
            const decision = quota.tryTake(customer.name, customer.limit, takenUse, reach(), clock.monotonicMs());
            if (!decision.admitted) {
                this.#refuse(
                    caller,
                    responder,
                    notRun(429, "customer.limit", "The customer's limit is used up.", decision.retryAfterMs),
                    description,
                );
                return;
            }
        }
        const waitMs = Math.min(route.timeLimitMs, description.waitMs ?? Infinity);
        new RequestTask(this.#context, {
            caller,
            description,
            requestId: description.requestId,
            route,
            service,
            customer,
            takenUse,
            configurationVersion: active.configuration.version,
            deadlineMs: caller.arrivedMs + waitMs,
        }, responder).start();
    }

    #refuse(caller: CallerRequest, responder: CallerResponder, answer: OwnAnswer, description?: RequestDescription): void {
        sendOwnAnswer(responder, answer);
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

function notRun(status: number, code: string, message: string, retryAfterMs?: number): OwnAnswer {
    return { status, code, message, executed: "no", ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

function identify(active: ActiveConfiguration, route: IngressRoute, apiKey: string | undefined): Identified {
    if (active.customersByKey === undefined) {
        return { ok: true, customer: undefined };
    }
    const customer = apiKey === undefined ? undefined : active.customersByKey.get(apiKey);
    return customer === undefined && !route.isPublic ? { ok: false } : { ok: true, customer };
}

/** What a request counts towards its customer's limit. */
function measureUse(customer: IngressCustomer, description: RequestDescription): number {
    if (customer.limit?.unit !== "tokens") {
        return 1;
    }
    const { prompt } = description;
    return prompt === undefined ? customer.limit.unstatedTokens : prompt.inputTokens + prompt.outputTokens;
}
