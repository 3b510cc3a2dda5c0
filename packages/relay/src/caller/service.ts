import type { Configuration } from "@filbertrelay/configuration";
import type { ServiceResponse } from "@filbertrelay/endpoints";
import type { CustomerId, IdempotencyKey, RequestId, ServiceName } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import type { Span } from "@opentelemetry/api";
import type { PlainCalls } from "../calls/calls.js";
import type { ConfigurationService, ShardService, SubmissionIssue } from "../contract.js";
import { traceHeader } from "../telemetry/tracing.js";
import type { AuthenticatedCaller, CallerContext, RequestGuard } from "./context.js";
import { issueResponse, notExecutedIssue } from "./error.js";
import type { CallerIssue } from "./error.js";

type ServiceDeclaration = Configuration["services"][number];
type Operation = ServiceDeclaration["operations"][number];

const idempotencyKeyPattern = /^[\x21-\x7e]{1,200}$/;
/** Headers that are meant for one connection or for the relay itself and aren't forwarded. */
const hopByHopHeaders = new Set([
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Handles any method below `/v1/services/NAME/`. */
export async function handleService(
    context: CallerContext,
    guard: RequestGuard,
    services: { readonly shards: ShardService; readonly calls: PlainCalls; readonly configuration: ConfigurationService; },
): Promise<Response> {
    const refused = guard.refusal();
    if (refused !== undefined) {
        return issueResponse(refused);
    }
    const caller = guard.authenticate(context);
    if (!caller.ok) {
        return issueResponse(caller.issue);
    }
    const target = findOperation(services.configuration.current(), context);
    if (!target.ok) {
        return issueResponse(target.issue);
    }
    const body = await guard.readBody(context);
    if (!body.ok) {
        return issueResponse(body.issue);
    }
    const { tracing } = guard.services;
    const span = tracing.startSpan("entry", tracing.extract(context.req.header(traceHeader)), {
        service: target.value.service.name,
    });
    const call: ServiceCall = {
        ...target.value,
        method: context.req.method,
        headers: forwardedHeaders(context),
        body: body.value,
        span,
    };
    const traceParent = tracing.inject(span);
    if (traceParent !== undefined) {
        call.headers[traceHeader] = traceParent;
    }
    const response = call.operation.idempotent ?
        await runIdempotent(call, caller.value, services.calls) :
        await runNonIdempotent(context, guard, call, caller.value, services.shards);
    span.end();
    return response;
}

interface ServiceCall {
    readonly service: ServiceDeclaration;
    readonly operation: Operation;
    readonly path: string;
    readonly method: string;
    readonly headers: Record<string, string>;
    readonly body: Uint8Array;
    readonly span: Span;
}

async function runIdempotent(call: ServiceCall, caller: AuthenticatedCaller, calls: PlainCalls): Promise<Response> {
    const result = await calls.run({
        service: brandAs<ServiceName>(call.service.name),
        customer: caller.customer,
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        deadlineAt: caller.deadlineAt,
    }, call.span);
    return result.ok ? serviceResponse(result.value.response, result.value.requestId) : issueResponse(result.issue);
}

async function runNonIdempotent(
    context: CallerContext,
    guard: RequestGuard,
    call: ServiceCall,
    caller: AuthenticatedCaller,
    shards: ShardService,
): Promise<Response> {
    const key = context.req.header("idempotency-key");
    if (key === undefined || !idempotencyKeyPattern.test(key)) {
        const message =
            `The operation '${call.operation.name}' is non-idempotent and needs an 'idempotency-key' header of 1 to 200 visible characters.`;
        return issueResponse(notExecutedIssue(400, "caller.keyRequired", message, { path: ["headers", "idempotency-key"] }));
    }
    const result = await shards.submit({
        customer: brandAs<CustomerId>(caller.customer.name),
        service: brandAs<ServiceName>(call.service.name),
        operation: call.operation.name,
        idempotencyKey: brandAs<IdempotencyKey>(key),
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        remainingMs: Math.max(0, caller.deadlineAt - guard.services.clock.now().getTime()),
    });
    guard.services.metrics.increment("submissions", 1, { outcome: result.ok ? "answered" : result.issue.code });
    return result.ok ?
        serviceResponse(result.value.response, result.value.requestId) :
        issueResponse(toCallerIssue(result.issue));
}

function findOperation(
    configuration: Configuration,
    context: CallerContext,
): { readonly ok: true; readonly value: Pick<ServiceCall, "service" | "operation" | "path">; } | {
    readonly ok: false;
    readonly issue: CallerIssue;
} {
    const name = context.req.param("name") ?? "";
    const url = new URL(context.req.url);
    const path = url.pathname.slice(`/v1/services/${name}`.length) || "/";
    const service = configuration.services.find(candidate => candidate.name === name);
    if (service === undefined) {
        return {
            ok: false,
            issue: notExecutedIssue(404, "caller.notFound", `There is no service '${name}'.`, { path: ["path"] }),
        };
    }
    const operations = service.operations.filter(operation =>
        operation.method === context.req.method && isPathWithin(path, operation.path)
    );
    const operation = operations.sort((left, right) => right.path.length - left.path.length)[0];
    if (operation === undefined) {
        const message = `The service '${name}' has no operation for ${context.req.method} '${path}'.`;
        return { ok: false, issue: notExecutedIssue(404, "caller.notFound", message, { path: ["path"] }) };
    }
    return { ok: true, value: { service, operation, path: path + url.search } };
}

function isPathWithin(path: string, prefix: string): boolean {
    return path === prefix || path.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
}

function forwardedHeaders(context: CallerContext): Record<string, string> {
    const headers = Object.entries(context.req.header());
    return Object.fromEntries(headers.filter(([name]) => !hopByHopHeaders.has(name) && !name.startsWith("x-filbertrelay-")));
}

/** Builds the caller's response from an endpoint's response. */
export function serviceResponse(response: ServiceResponse, requestId: RequestId): Response {
    const headers = new Headers(Object.entries(response.headers).filter(([name]) => !hopByHopHeaders.has(name)));
    headers.set("x-request-id", requestId);
    const hasBody = response.status !== 204 && response.status !== 304;
    return new Response(hasBody ? Buffer.from(response.body) : undefined, { status: response.status, headers });
}

const submissionStatuses: Record<SubmissionIssue["code"], number> = {
    "shard.notOwned": 503,
    "shard.noWitness": 503,
    "shard.unavailable": 503,
    "shard.unknown": 502,
    "shard.keyReused": 422,
    "shard.overloaded": 429,
    "shard.expired": 410,
    "endpoint.refused": 503,
};

/** Converts the issue of a submission to the issue that the caller gets. */
export function toCallerIssue(issue: SubmissionIssue): CallerIssue {
    const status = submissionStatuses[issue.code];
    return {
        status,
        code: issue.code,
        message: issue.message,
        executed: issue.executed,
        ...(status === 503 || status === 429 ? { retryAfterMs: 1_000 } : {}),
    };
}
