import { parseJson } from "@filbertrelay/kernel";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { match } from "ts-pattern";
import type { z } from "zod";
import type { Answer } from "../streams/answer.js";
import { renderCompletion, writeEventStream } from "../streams/eventstream.js";
import { chatRequestSchema, toModelRequest } from "../streams/request.js";
import type { StreamService } from "../streams/service.js";
import { traceHeader } from "../telemetry/tracing.js";
import type { CallerContext, CallerGate } from "./context.js";
import { issueResponse, notRun } from "./error.js";
import type { CallerIssue } from "./error.js";

/** Handles `POST /v1/chat/completions`. */
export async function handleChat(context: CallerContext, gate: CallerGate, streams: StreamService): Promise<Response> {
    const refused = gate.refusal();
    if (refused !== undefined) {
        return issueResponse(refused);
    }
    const terms = gate.terms(context);
    if (!terms.ok) {
        return issueResponse(terms.issue);
    }
    const body = await gate.readBody(context);
    if (!body.ok) {
        return issueResponse(body.issue);
    }
    const chat = chatRequestSchema.safeParse(parseJson(Buffer.from(body.value).toString("utf8")));
    if (!chat.success) {
        return issueResponse(invalidBody(chat.error));
    }
    const span = gate.services.tracing.startSpan("entry", gate.services.tracing.extract(context.req.header(traceHeader)));
    const request = toModelRequest(chat.data, terms.value);
    const accepted = await streams.accept(terms.value.customer, request, span);
    if (!accepted.ok) {
        gate.services.tracing.fail(span, accepted.issue.code);
        return issueResponse(accepted.issue);
    }
    void accepted.value.ended().then(() => span.end());
    return sendAnswer(context, gate, accepted.value, { isStream: chat.data.stream, offset: 0 });
}

/** Sends an answer as server-sent events or, when it has ended, as one object. */
export async function sendAnswer(
    context: CallerContext,
    gate: CallerGate,
    answer: Answer,
    options: { readonly isStream: boolean; readonly offset: number; },
): Promise<Response> {
    const created = gate.services.clock.now();
    if (options.isStream) {
        writeEventStream(context.env.outgoing, answer, {
            offset: options.offset,
            created,
            entryPoints: () => gate.entryPoints(),
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
        .with({ type: "moved" }, () => issueResponse(movedIssue(gate), answer.requestId))
        .exhaustive();
}

function movedIssue(gate: CallerGate): CallerIssue {
    return {
        status: 503,
        code: "relay.moved",
        message: "This host is leaving. Read the answer by its request id from another entry point.",
        executed: "unknown",
        entryPoints: gate.entryPoints(),
    };
}

function invalidBody(error: z.ZodError): CallerIssue {
    const first = error.issues[0];
    const path = ["body", ...(first?.path ?? []).map(part => typeof part === "symbol" ? String(part) : part)];
    const message = error.issues.map(issue => `'${["body", ...issue.path].map(String).join(".")}': ${issue.message}.`).join(" ");
    return notRun(400, "caller.invalid", message, { path });
}
