import type { EndpointId } from "@filbertrelay/kernel";
import { decideReplacement, planAttempt } from "@filbertrelay/policy/ingress";
import type { AttemptPlan, ReplacementDecision, RequestTraits } from "@filbertrelay/policy/ingress";
import { isEndedBeforeStop } from "./admission.js";
import type { AdmittedRequest } from "./admitted.js";
import type { RequestContext } from "./context.js";
import type { StreamContinuation } from "./continuation.js";
import { isRepeatable, listOpenEndpoints, recordDemand, selectEndpoint } from "./endpointselection.js";
import type { SelectedEndpoint } from "./endpointselection.js";

/** Plans the attempts of one request and remembers where they were sent. */
export class AttemptPlanner {
    readonly #context: RequestContext;
    readonly #request: AdmittedRequest;
    readonly #continuation: StreamContinuation;
    readonly #traits: RequestTraits;
    readonly #tried = new Set<EndpointId>();
    #attempts = 0;
    #executions = 0;

    constructor(context: RequestContext, request: AdmittedRequest, continuation: StreamContinuation, traits: RequestTraits) {
        this.#context = context;
        this.#request = request;
        this.#continuation = continuation;
        this.#traits = traits;
    }

    /** Number of attempts so far. */
    get attempts(): number {
        return this.#attempts;
    }

    /** Attempts that have ended after the endpoint may have run the request. */
    get executions(): number {
        return this.#executions;
    }

    /** Whether the request may be executed on one more endpoint. */
    get mayRetry(): boolean {
        return this.isRepeatable && this.#executions < this.#request.route.maximumAttempts;
    }

    /** Whether the request may be executed on one more endpoint after the current attempt. */
    get mayRetryAfterCurrent(): boolean {
        return this.isRepeatable && this.#executions + 1 < this.#request.route.maximumAttempts;
    }

    get isRepeatable(): boolean {
        return isRepeatable(this.#request.route);
    }

    recordSent(endpointId: EndpointId): void {
        this.#attempts += 1;
        this.#tried.add(endpointId);
    }

    recordExecution(): void {
        this.#executions += 1;
    }

    /** Plans the next attempt and records the demand of the request. */
    plan(): AttemptPlan<SelectedEndpoint> {
        const plan = this.#plan();
        if (plan.type !== "quarantined") {
            recordDemand(this.#context, this.#request, plan.type === "ready" ? plan.selected.choice : undefined);
        }
        return plan;
    }

    /** Decides whether another attempt takes the place of the current one, or of the failure that it brought. */
    decideReplacement(): ReplacementDecision<SelectedEndpoint> {
        const decision = decideReplacement(this.#plan(), () => this.reserveRetry());
        if (decision.type === "replace") {
            recordDemand(this.#context, this.#request, decision.selected.choice);
        }
        return decision;
    }

    /** Charges a retry to the budget; returns false when it is used up. */
    reserveRetry(): boolean {
        const { retryBudget, reach, clock } = this.#context;
        return retryBudget.tryRetry(this.#request.service, reach().knownHosts, clock.monotonicMs());
    }

    #plan(): AttemptPlan<SelectedEndpoint> {
        const { quarantine, rollouts, clock } = this.#context;
        const { service } = this.#request;
        return planAttempt({
            decideQuarantine: () => quarantine.decide(this.#traits, clock.monotonicMs()),
            select: () => {
                const open = listOpenEndpoints(this.#context, service).filter(endpoint => this.#continuation.accepts(endpoint));
                const traits = { isContinued: this.#continuation.isBound, isRepeated: this.#attempts > 0 };
                return selectEndpoint(this.#context, this.#request, rollouts.select(service, open, traits), this.#tried);
            },
            endsBeforeStop: ({ choice }) => isEndedBeforeStop(this.#context, this.#request, choice, this.isRepeatable),
        });
    }
}
