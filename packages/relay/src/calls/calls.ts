import type { ServiceDriver, ServiceResponse } from "@filbertrelay/endpoints";
import type { Clock, Kernel, RequestId, ServiceName } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import type { Span } from "@opentelemetry/api";
import { randomBytes } from "node:crypto";
import type { Customer } from "../caller/authentication.js";
import { notRun } from "../caller/error.js";
import type { CallerIssue } from "../caller/error.js";
import type { DirectoryEntry, MembershipService } from "../contract.js";
import type { Directory } from "../directory/directory.js";
import type { Metrics } from "../telemetry/metrics.js";
import type { Tracing } from "../telemetry/tracing.js";
import type { RetryBudgets } from "./retry.js";

const maximumAttempts = 3;
const attemptTimeoutMs = 10_000;

/** An idempotent call of a plain service. */
export interface PlainCall {
    readonly service: ServiceName;
    readonly customer: Customer;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    readonly deadlineAt: number;
}

type CallOutcome =
    | { readonly ok: true; readonly value: { readonly requestId: RequestId; readonly response: ServiceResponse; }; }
    | { readonly ok: false; readonly issue: CallerIssue; };

/** Runs idempotent calls of plain services, with retries within the budget; registered as `calls`. */
export class PlainCalls {
    readonly #clock: Clock;
    readonly #directory: Directory;
    readonly #membership: MembershipService;
    readonly #services: ServiceDriver;
    readonly #retries: RetryBudgets;
    readonly #metrics: Metrics;
    readonly #tracing: Tracing;
    readonly #open = new Map<string, number>();

    constructor(kernel: Kernel) {
        this.#clock = kernel.clock;
        this.#directory = kernel.get<Directory>("directory");
        this.#membership = kernel.get<MembershipService>("membership");
        this.#services = kernel.get<ServiceDriver>("services");
        this.#retries = kernel.get<RetryBudgets>("retries");
        this.#metrics = kernel.get<Metrics>("metrics");
        this.#tracing = kernel.get<Tracing>("tracing");
    }

    /** Runs a call until it is answered, the deadline passes or the retry budget is used up. */
    async run(call: PlainCall, parent: Span): Promise<CallOutcome> {
        const requestId = brandAs<RequestId>(`p.${randomBytes(12).toString("base64url")}`);
        const tried: DirectoryEntry[] = [];
        let issue = notRun(503, "endpoint.none", `The service '${call.service}' has no live endpoint.`, { retryAfterMs: 1_000 });
        this.#retries.countRequest(call.customer.name, call.service);
        for (let attempt = 0; attempt < maximumAttempts; attempt++) {
            const remainingMs = call.deadlineAt - this.#clock.now().getTime();
            const endpoint = this.#choose(call.service, tried);
            if (
                endpoint === undefined || remainingMs <= 0 ||
                (attempt > 0 && !this.#retries.tryRetry(call.customer.name, call.service))
            ) {
                return { ok: false, issue };
            }
            tried.push(endpoint);
            const sent = await this.#attempt(endpoint, requestId, call, Math.min(remainingMs, attemptTimeoutMs), parent);
            if (sent.ok) {
                return sent;
            }
            issue = sent.issue;
        }
        return { ok: false, issue };
    }

    async #attempt(
        endpoint: DirectoryEntry,
        requestId: RequestId,
        call: PlainCall,
        timeoutMs: number,
        parent: Span,
    ): Promise<CallOutcome> {
        const span = this.#tracing.startSpan("endpoint attempt", parent, { endpoint: endpoint.endpointId });
        this.#open.set(endpoint.endpointId, (this.#open.get(endpoint.endpointId) ?? 0) + 1);
        const sent = await this.#services.send(endpoint.address, { requestId, ...call }, { timeoutMs });
        this.#open.set(endpoint.endpointId, (this.#open.get(endpoint.endpointId) ?? 1) - 1);
        this.#metrics.increment("calls.attempts", 1, { outcome: sent.ok ? "answered" : sent.issue.code });
        if (sent.ok) {
            span.end();
            return { ok: true, value: { requestId, response: sent.value } };
        }
        this.#tracing.fail(span, sent.issue.code);
        const { code, message, executed } = sent.issue;
        return { ok: false, issue: { status: 502, code, message, executed, retryAfterMs: 1_000 } };
    }

    // Least open calls first; among equals the own failure domain; an endpoint that failed is tried last and its failure domain avoided.
    #choose(service: ServiceName, tried: readonly DirectoryEntry[]): DirectoryEntry | undefined {
        const ownFailureDomain = this.#membership.self().failureDomain;
        const triedDomains = new Set(tried.map(endpoint => endpoint.failureDomain));
        const rank = (endpoint: DirectoryEntry): readonly number[] => [
            Number(triedDomains.has(endpoint.failureDomain)),
            this.#open.get(endpoint.endpointId) ?? 0,
            Number(endpoint.failureDomain !== ownFailureDomain),
        ];
        const candidates = this.#directory.endpoints(service).filter(endpoint =>
            !tried.some(other => other.endpointId === endpoint.endpointId)
        );
        return [...candidates].sort((left, right) => compareRanks(rank(left), rank(right)))[0];
    }
}

function compareRanks(left: readonly number[], right: readonly number[]): number {
    const difference = left.map((value, index) => value - (right[index] ?? 0)).find(value => value !== 0);
    return difference ?? 0;
}
