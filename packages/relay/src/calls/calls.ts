import type { ServiceDriver, ServiceResponse } from "@filbertrelay/endpoints";
import type { Clock, Kernel, RequestId, ServiceName } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import type { Span } from "@opentelemetry/api";
import { randomBytes } from "node:crypto";
import type { Customer } from "../caller/authentication.js";
import { notExecutedIssue } from "../caller/error.js";
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

/** Sends idempotent calls to plain services and retries them within the retry budget; registered as `calls`. */
export class PlainCalls {
    readonly #clock: Clock;
    readonly #directory: Directory;
    readonly #membership: MembershipService;
    readonly #services: ServiceDriver;
    readonly #retries: RetryBudgets;
    readonly #metrics: Metrics;
    readonly #tracing: Tracing;
    readonly #openCalls = new Map<string, number>();

    constructor(kernel: Kernel) {
        this.#clock = kernel.clock;
        this.#directory = kernel.get<Directory>("directory");
        this.#membership = kernel.get<MembershipService>("membership");
        this.#services = kernel.get<ServiceDriver>("services");
        this.#retries = kernel.get<RetryBudgets>("retries");
        this.#metrics = kernel.get<Metrics>("metrics");
        this.#tracing = kernel.get<Tracing>("tracing");
    }

    /** Sends a call, retrying on other endpoints until one responds, the deadline passes or the attempts or the retry budget run out. */
    async run(call: PlainCall, parent: Span): Promise<CallOutcome> {
        const requestId = brandAs<RequestId>(`p.${randomBytes(12).toString("base64url")}`);
        const tried: DirectoryEntry[] = [];
        let issue = notExecutedIssue(503, "endpoint.none", `The service '${call.service}' has no live endpoint.`, {
            retryAfterMs: 1_000,
        });
        this.#retries.recordRequest(call.customer.name, call.service);
        for (let attempt = 0; attempt < maximumAttempts; attempt++) {
            const remainingMs = call.deadlineAt - this.#clock.now().getTime();
            const endpoint = this.#selectEndpoint(call.service, tried);
            if (
                endpoint === undefined || remainingMs <= 0 ||
                (attempt > 0 && !this.#retries.tryRetry(call.customer.name, call.service))
            ) {
                return { ok: false, issue };
            }
            tried.push(endpoint);
            const result = await this.#attempt(endpoint, requestId, call, Math.min(remainingMs, attemptTimeoutMs), parent);
            if (result.ok) {
                return result;
            }
            issue = result.issue;
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
        this.#openCalls.set(endpoint.endpointId, (this.#openCalls.get(endpoint.endpointId) ?? 0) + 1);
        const result = await this.#services.send(endpoint.address, { requestId, ...call }, { timeoutMs });
        this.#openCalls.set(endpoint.endpointId, (this.#openCalls.get(endpoint.endpointId) ?? 1) - 1);
        this.#metrics.increment("calls.attempts", 1, { outcome: result.ok ? "answered" : result.issue.code });
        if (result.ok) {
            span.end();
            return { ok: true, value: { requestId, response: result.value } };
        }
        this.#tracing.fail(span, result.issue.code);
        const { code, message, executed } = result.issue;
        return { ok: false, issue: { status: 502, code, message, executed, retryAfterMs: 1_000 } };
    }

    // Prefers endpoints outside of the failure domains of failed attempts, then those with the fewest open calls, then those in this
    // host's own failure domain. Endpoints that were tried are left out.
    #selectEndpoint(service: ServiceName, tried: readonly DirectoryEntry[]): DirectoryEntry | undefined {
        const ownFailureDomain = this.#membership.self().failureDomain;
        const triedDomains = new Set(tried.map(endpoint => endpoint.failureDomain));
        const rank = (endpoint: DirectoryEntry): readonly number[] => [
            Number(triedDomains.has(endpoint.failureDomain)),
            this.#openCalls.get(endpoint.endpointId) ?? 0,
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
