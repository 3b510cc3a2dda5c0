import { request as send } from "undici";
import { isTransient, readRelayError } from "./error.js";
import type { RelayError } from "./error.js";
import type { CallerContext } from "./model.js";

/** A call of a plain service. */
export interface ServiceCall {
    readonly customerKey: string;
    readonly service: string;
    readonly method: string;
    /** Path below the service's root. */
    readonly path: string;
    readonly body?: string;
    /** Required for non-idempotent operations. */
    readonly idempotencyKey?: string;
    readonly deadlineMs: number;
    /** How long the caller goes on resending the key while the outcome is open. */
    readonly patienceMs: number;
}

/** What a caller knows at the end of a service call. */
export interface ServiceAnswer {
    /**
     * `done`: the service answered. `notRun`: refused with `executed: "no"`. `unknown`: the relay can't tell whether it ran.
     * `open`: no definite answer came within the caller's patience.
     */
    readonly outcome: "done" | "notRun" | "unknown" | "open";
    readonly status: number | undefined;
    readonly body: string;
    readonly requestId: string | undefined;
    readonly attempts: number;
    readonly durationMs: number;
    readonly error: RelayError | undefined;
}

const attemptTimeoutMs = 10_000;
const retryIntervalMs = 250;
/** A late result of the former owner can resolve an unknown outcome, so the caller asks a few times more. */
const unknownAttempts = 8;

interface Attempt {
    readonly status: number;
    readonly body: string;
    readonly requestId: string | undefined;
}

/** Calls a plain service and resends the same idempotency key until the outcome is definite. */
export async function callService(context: CallerContext, call: ServiceCall): Promise<ServiceAnswer> {
    const startMs = context.clock.monotonicMs();
    let outcome: ServiceAnswer["outcome"] = "open";
    let last: Attempt | undefined;
    let error: RelayError | undefined;
    let attempts = 0;
    let unknowns = 0;
    for (;;) {
        attempts += 1;
        const elapsedMs = context.clock.monotonicMs() - startMs;
        const sent = await attempt(context, call, Math.max(1, call.deadlineMs - elapsedMs));
        last = sent ?? last;
        error = sent === undefined ? undefined : readRelayError(sent.body);
        outcome = classify(sent, error, call);
        unknowns += Number(outcome === "unknown");
        const isOver = context.clock.monotonicMs() - startMs > (outcome === "notRun" ? call.deadlineMs : call.patienceMs);
        const isFinal = outcome === "done" || (outcome === "notRun" && !isTransient(sent?.status ?? 0)) ||
            unknowns >= unknownAttempts;
        if (isFinal || isOver) {
            break;
        }
        await context.clock.sleep(Math.max(retryIntervalMs, error?.retryAfterMs ?? 0));
    }
    return {
        outcome,
        status: last?.status,
        body: last?.body ?? "",
        requestId: last?.requestId,
        attempts,
        durationMs: context.clock.monotonicMs() - startMs,
        error,
    };
}

function classify(sent: Attempt | undefined, error: RelayError | undefined, call: ServiceCall): ServiceAnswer["outcome"] {
    if (sent === undefined) {
        return "open";
    }
    if (error === undefined) {
        return "done";
    }
    if (error.executed === "no") {
        return "notRun";
    }
    return call.idempotencyKey === undefined ? "open" : "unknown";
}

async function attempt(context: CallerContext, call: ServiceCall, remainingMs: number): Promise<Attempt | undefined> {
    const address = await context.entryPoints.choose();
    try {
        const response = await send(`http://${address}/v1/services/${call.service}${call.path}`, {
            method: call.method as "GET" | "POST",
            dispatcher: context.dispatcher,
            signal: AbortSignal.timeout(attemptTimeoutMs),
            headers: {
                "authorization": `Bearer ${call.customerKey}`,
                "x-request-deadline-ms": String(Math.ceil(remainingMs)),
                ...(call.idempotencyKey === undefined ? {} : { "idempotency-key": call.idempotencyKey }),
                ...(call.body === undefined ? {} : { "content-type": "application/json" }),
            },
            ...(call.body === undefined ? {} : { body: call.body }),
        });
        const body = await response.body.text();
        const error = readRelayError(body);
        context.entryPoints.learn(error?.entryPoints ?? []);
        if (error?.entryPoints !== undefined) {
            context.entryPoints.markFailed(address);
        }
        const requestId = response.headers["x-request-id"];
        return { status: response.statusCode, body, requestId: typeof requestId === "string" ? requestId : undefined };
    }
    catch {
        context.entryPoints.markFailed(address);
        return undefined;
    }
}
