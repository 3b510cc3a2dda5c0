import type { EndpointIssue, EngineItem } from "@filbertrelay/endpoints";
import type { InterruptionCause } from "@filbertrelay/policy";
import { match, P } from "ts-pattern";

/** What one attempt at an engine came to. */
export type AttemptEnd =
    | { readonly type: "finished"; readonly item: Extract<EngineItem, { type: "finish"; }>; }
    | { readonly type: "interrupted"; readonly cause: InterruptionCause; readonly issue?: EndpointIssue; }
    | { readonly type: "stopped"; };

/** What an issue of an engine's stream means for the answer. */
export function interruptionOf(issue: EndpointIssue | undefined): InterruptionCause {
    return match<string | undefined, InterruptionCause>(issue?.code)
        .with("endpoint.silent", () => "stalled")
        .with(P.union("endpoint.unreachable", "endpoint.refused", "endpoint.overloaded", "endpoint.invalid"), () => "refused")
        .with("endpoint.crashed", () => "crashed")
        .otherwise(() => "connectionLost");
}
