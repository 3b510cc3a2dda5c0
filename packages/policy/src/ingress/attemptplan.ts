import type { QuarantineDecision } from "../suspects/quarantine.js";

/** What a request needs before it may be sent to an endpoint. */
export interface AttemptChecks<Selected> {
    /** Whether the request may run at all. */
    readonly decideQuarantine: () => QuarantineDecision;
    /** Chooses an endpoint that was not tried yet; `undefined` without one. */
    readonly select: () => Selected | undefined;
    /** Whether the request ends there before this host stops. */
    readonly endsBeforeStop: (selected: Selected) => boolean;
}

/** The next attempt of a request, or why there is none. */
export type AttemptPlan<Selected> =
    | { readonly type: "ready"; readonly selected: Selected; }
    | { readonly type: "quarantined"; readonly cause: string; readonly retryAfterMs: number; }
    | { readonly type: "noEndpoint"; }
    | { readonly type: "stopping"; };

/** Whether another attempt takes the place of what a request has. */
export type ReplacementDecision<Selected> =
    | { readonly type: "replace"; readonly selected: Selected; }
    | { readonly type: "keep"; readonly reason: Exclude<AttemptPlan<Selected>["type"], "ready"> | "budget"; };

/** Plans the next attempt of a request, without effects on the current one. */
export function planAttempt<Selected>(checks: AttemptChecks<Selected>): AttemptPlan<Selected> {
    const quarantine = checks.decideQuarantine();
    if (quarantine.type === "reject") {
        return { type: "quarantined", cause: quarantine.cause, retryAfterMs: quarantine.retryAfterMs };
    }
    const selected = checks.select();
    if (selected === undefined) {
        return { type: "noEndpoint" };
    }
    return checks.endsBeforeStop(selected) ? { type: "ready", selected } : { type: "stopping" };
}

/**
 * Decides whether a request gives up what it has, a silent endpoint or the failure that one has answered. Only an attempt that starts
 * in any case is better than either; the retry is reserved last, so that the budget pays for no other.
 */
export function decideReplacement<Selected>(
    plan: AttemptPlan<Selected>,
    reserveRetry: () => boolean,
): ReplacementDecision<Selected> {
    if (plan.type !== "ready") {
        return { type: "keep", reason: plan.type };
    }
    return reserveRetry() ? { type: "replace", selected: plan.selected } : { type: "keep", reason: "budget" };
}
