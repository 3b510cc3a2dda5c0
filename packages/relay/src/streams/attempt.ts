import type { EndpointIssue, EngineItem } from "@filbertrelay/endpoints";
import type { InterruptionCause } from "@filbertrelay/policy";
import { match, P } from "ts-pattern";

/** The result of one attempt to generate an answer on an engine. */
export type AttemptResult =
    | { readonly type: "finished"; readonly item: Extract<EngineItem, { type: "finish"; }>; }
    | { readonly type: "interrupted"; readonly cause: InterruptionCause; readonly issue?: EndpointIssue; }
    | { readonly type: "stopped"; };

/** Maps an issue of an engine's stream to the cause of the interruption. */
export function toInterruptionCause(issue: EndpointIssue | undefined): InterruptionCause {
    return match<string | undefined, InterruptionCause>(issue?.code)
        .with("endpoint.silent", () => "stalled")
        .with(P.union("endpoint.unreachable", "endpoint.refused", "endpoint.overloaded", "endpoint.invalid"), () => "refused")
        .with("endpoint.crashed", () => "crashed")
        .otherwise(() => "connectionLost");
}
