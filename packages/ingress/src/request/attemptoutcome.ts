import type { RequestTraits } from "@filbertrelay/policy/ingress";
import type { Attempt, AttemptResult } from "./attempt.js";
import type { RequestContext } from "./context.js";

/** What is needed to record whether endpoints survive requests. */
export type OutcomeContext = Pick<RequestContext, "crashes" | "quarantine" | "clock">;

/** Records whether an endpoint has survived a request; the promise resolves when that is known. */
export function recordOutcome(
    context: OutcomeContext,
    traits: RequestTraits,
    { attempt, result }: { readonly attempt: Attempt; readonly result: AttemptResult; },
): Promise<void> | undefined {
    if (result.type === "answered") {
        recordProgress(context, traits, attempt);
    }
    else if (result.type === "failed" && result.isConnectionLost === true) {
        const { parts, content } = traits;
        const interrupted = attempt.hasProgress ? undefined : { parts, content: content(), sentMs: attempt.sentMs };
        const examined = context.crashes.recordInterruption(attempt.endpoint, interrupted);
        return interrupted === undefined ? undefined : examined;
    }
    return undefined;
}

/** Records that an endpoint has answered a part of a request, the first time that it does. */
export function recordProgress({ quarantine, clock }: OutcomeContext, traits: RequestTraits, attempt: Attempt): void {
    if (!attempt.hasProgress) {
        quarantine.recordProgress(traits, clock.monotonicMs());
    }
}
