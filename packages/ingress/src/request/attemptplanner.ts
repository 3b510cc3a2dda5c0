import type { EndpointId } from "@filbertrelay/kernel";
import { decideReplacement, planAttempt } from "@filbertrelay/policy/ingress";
import type { AttemptPlan, ReplacementDecision, RequestTraits } from "@filbertrelay/policy/ingress";
import type { EndpointRecord } from "../contract.js";
import type { AttemptWay, RoutedRequest } from "../relay/router.js";
import { isEndedBeforeStop } from "./admission.js";
import type { AdmittedRequest } from "./admitted.js";
import type { Attempt } from "./attempt.js";
import type { RequestContext } from "./context.js";
import type { StreamContinuation } from "./continuation.js";
import { isRepeatable, listOpenEndpoints, recordDemand, selectEndpoint } from "./endpointselection.js";
import type { SelectedEndpoint } from "./endpointselection.js";

/** Longest idle time of a connection that is reused for a non-retryable request; a longer-idle connection may be closing. */
const nonRetryableIdleMs = 3_000;
/** Other hosts that are asked in vain for one request; if so many refuse, the next one hardly helps, and each gets the whole request. */
const maximumFailedRelays = 8;

/** Where an attempt goes, and how. */
export interface PlannedAttempt extends SelectedEndpoint {
    readonly way: AttemptWay;
    /** Longest idle time of a connection that is reused for it, in milliseconds. */
    readonly maximumIdleMs: number;
}

/** Plans the attempts of one request and remembers where they were sent. */
export class AttemptPlanner {
    readonly #context: RequestContext;
    readonly #request: AdmittedRequest;
    readonly #continuation: StreamContinuation;
    readonly #traits: RequestTraits;
    /** Endpoints that got the request, or may have got it. */
    readonly #tried = new Set<EndpointId>();
    /** Endpoints that may have run the request, or a part of it. */
    readonly #ran = new Set<EndpointId>();
    /** Ways by which the request did not get to an endpoint. */
    readonly #failedWays = new Set<string>();
    #failedRelays = 0;
    /** Whether no endpoint has got the work that was last recorded as demand. */
    #isDemandOpen = false;
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

    recordSent({ endpointId }: EndpointRecord): void {
        this.#attempts += 1;
        this.#tried.add(endpointId);
    }

    /** Records that an attempt has ended after the endpoint may have run the request. */
    recordExecution({ endpointId }: EndpointRecord): void {
        this.#executions += 1;
        this.#ran.add(endpointId);
    }

    /** Records that nothing of the request got to an endpoint, which is then open to it by another way. */
    recordUnreached({ endpointId }: EndpointRecord, way: AttemptWay): void {
        this.#tried.delete(endpointId);
        this.#isDemandOpen = true;
        this.#failedWays.add(nameWay(endpointId, way));
        this.#failedRelays += way.type === "relay" ? 1 : 0;
    }

    /** Plans the next attempt and records the demand of the request, once for several ways that led to no endpoint. */
    plan(): AttemptPlan<PlannedAttempt> {
        const plan = this.#plan(() => this.#select(this.#tried) ?? this.#selectFormer());
        if (plan.type !== "quarantined" && !this.#isDemandOpen) {
            recordDemand(this.#context, this.#request, plan.type === "ready" ? plan.selected.choice : undefined);
        }
        this.#isDemandOpen = false;
        return plan;
    }

    /** Decides whether another attempt takes the place of the current one, or of the failure that it brought. */
    decideReplacement(): ReplacementDecision<PlannedAttempt> {
        const decision = decideReplacement(this.#plan(() => this.#select(this.#tried)), () => this.reserveRetry());
        if (decision.type === "replace") {
            recordDemand(this.#context, this.#request, decision.selected.choice);
        }
        return decision;
    }

    /** Whether an attempt waits for an endpoint to which this host has lost its link. */
    isCutOff({ endpoint, way }: Pick<Attempt, "endpoint" | "way">): boolean {
        const { endpointReach, clock } = this.#context;
        return way.type === "direct" && endpointReach.wayTo(endpoint, clock.monotonicMs()) === "relay";
    }

    /** Charges a retry to the budget; returns false when it is used up. */
    reserveRetry(): boolean {
        const { retryBudget, reach, clock } = this.#context;
        return retryBudget.tryRetry(this.#request.service, reach().knownHosts, clock.monotonicMs());
    }

    #plan(select: () => PlannedAttempt | undefined): AttemptPlan<PlannedAttempt> {
        const { quarantine, clock } = this.#context;
        return planAttempt({
            decideQuarantine: () => quarantine.decide(this.#traits, clock.monotonicMs()),
            select,
            endsBeforeStop: ({ choice }) => isEndedBeforeStop(this.#context, this.#request, choice, this.isRepeatable),
        });
    }

    /** A stream that has begun goes on at an endpoint that wrote a part of it rather than nowhere. */
    #selectFormer(): PlannedAttempt | undefined {
        return this.#continuation.isBound && this.mayRetry ?
            this.#select(new Set([...this.#tried].filter(endpointId => !this.#ran.has(endpointId)))) :
            undefined;
    }

    #select(tried: ReadonlySet<EndpointId>): PlannedAttempt | undefined {
        const { rollouts, router } = this.#context;
        const { service } = this.#request;
        const open = listOpenEndpoints(this.#context, service).filter(endpoint =>
            this.#continuation.accepts(endpoint) && router.has(endpoint, this.#routed(endpoint))
        );
        const traits = { isContinued: this.#continuation.isBound, isRepeated: this.#attempts > 0 };
        const selected = selectEndpoint(this.#context, this.#request, rollouts.select(service, open, traits), tried);
        const way = selected === undefined ? undefined : router.find(selected.endpoint, this.#routed(selected.endpoint));
        return selected === undefined || way === undefined ?
            undefined :
            { ...selected, way, maximumIdleMs: this.#maximumIdleMs };
    }

    get #maximumIdleMs(): number {
        return this.isRepeatable ? Infinity : nonRetryableIdleMs;
    }

    #routed({ endpointId }: EndpointRecord): RoutedRequest {
        return {
            requestId: this.#request.requestId,
            maximumIdleMs: this.#maximumIdleMs,
            wasTried: way =>
                (way.type === "relay" && this.#failedRelays >= maximumFailedRelays) ||
                this.#failedWays.has(nameWay(endpointId, way)),
        };
    }
}

function nameWay(endpointId: EndpointId, way: AttemptWay): string {
    return way.type === "direct" ? `${endpointId}/` : `${endpointId}/${way.relay}`;
}
