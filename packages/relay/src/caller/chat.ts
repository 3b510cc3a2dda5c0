import { parseJson } from "@filbertrelay/kernel";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { match } from "ts-pattern";
import type * as z from "zod";
import type { Answer } from "../streams/answer.js";
import { renderCompletion, writeEventStream } from "../streams/eventstream.js";
import { chatRequestSchema, toModelRequest } from "../streams/request.js";
import type { StreamService } from "../streams/service.js";
import { traceHeader } from "../telemetry/tracing.js";
import type { CallerContext, RequestGuard } from "./context.js";
import { issueResponse, notExecutedIssue } from "./error.js";
import type { CallerIssue } from "./error.js";

/** Handles `POST /v1/chat/completions`. */
export async function handleChat(context: CallerContext, guard: RequestGuard, streams: StreamService): Promise<Response> {
    const refused = guard.refusal();
    if (refused !== undefined) {
        return issueResponse(refused);
    }
    const caller = guard.authenticate(context);
    if (!caller.ok) {
        return issueResponse(caller.issue);
    }
    const body = await guard.readBody(context);
    if (!body.ok) {
        return issueResponse(body.issue);
    }
    const chat = chatRequestSchema.safeParse(parseJson(Buffer.from(body.value).toString("utf8")));
    if (!chat.success) {
        return issueResponse(invalidBody(chat.error));
    }
    const span = guard.services.tracing.startSpan("entry", guard.services.tracing.extract(context.req.header(traceHeader)));
    const request = toModelRequest(chat.data, caller.value);
    const accepted = await streams.accept(caller.value.customer, request, span);
    if (!accepted.ok) {
        guard.services.tracing.fail(span, accepted.issue.code);
        return issueResponse(accepted.issue);
    }
    void accepted.value.ended().then(() => span.end());
    return sendCompletion(context, guard, accepted.value, { isStream: chat.data.stream, offset: 0 });
}

/** Sends a completion as server-sent events or, once it has ended, as one JSON object. */
export async function sendCompletion(
    context: CallerContext,
    guard: RequestGuard,
    answer: Answer,
    options: { readonly isStream: boolean; readonly offset: number; },
): Promise<Response> {
    const created = guard.services.clock.now();
    if (options.isStream) {
        writeEventStream(context.env.outgoing, answer, {
            offset: options.offset,
            created,
            entryPoints: () => guard.entryPoints(),
        });
        return RESPONSE_ALREADY_SENT;
    }
    const state = await answer.ended();
    return match(state)
        .with({ type: "finished" }, ({ finish }) =>
            new Response(renderCompletion(answer, finish, created), {
                headers: { "content-type": "application/json", "x-request-id": answer.requestId },
            }))
        .with({ type: "failed" }, ({ issue }) => issueResponse(issue, answer.requestId))
        .with({ type: "moved" }, () => issueResponse(movedIssue(guard), answer.requestId))
        .exhaustive();
}

function movedIssue(guard: RequestGuard): CallerIssue {
    return {
        status: 503,
        code: "relay.moved",
        message: "This host is leaving the fleet. Read the response by its request id from another entry point.",
        executed: "unknown",
        entryPoints: guard.entryPoints(),
    };
}

function invalidBody(error: z.ZodError): CallerIssue {
    const first = error.issues[0];
    const path = ["body", ...(first?.path ?? []).map(part => typeof part === "symbol" ? String(part) : part)];
    const message = error.issues.map(issue => `'${["body", ...issue.path].map(String).join(".")}': ${issue.message}.`).join(" ");
    return notExecutedIssue(400, "caller.invalid", message, { path });
}
