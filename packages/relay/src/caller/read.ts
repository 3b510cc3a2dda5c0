import type { CustomerId, RequestId } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import type { ShardService } from "../contract.js";
import type { StreamService } from "../streams/service.js";
import { sendAnswer } from "./chat.js";
import type { CallerContext, CallerGate } from "./context.js";
import { issueResponse, notRun } from "./error.js";
import { serviceResponse, submissionIssue } from "./service.js";

const offsetPattern = /^\d{1,9}$/;

/** Handles `GET /v1/requests/ID`: the rest of a model answer behind an offset, or the recorded answer of a non-idempotent request. */
export async function handleRead(
    context: CallerContext,
    gate: CallerGate,
    services: { readonly streams: StreamService; readonly shards: ShardService; },
): Promise<Response> {
    const terms = gate.terms(context);
    if (!terms.ok) {
        return issueResponse(terms.issue);
    }
    const requestId = brandAs<RequestId>(context.req.param("id") ?? "");
    const customer = brandAs<CustomerId>(terms.value.customer.name);
    if (requestId.startsWith("n.")) {
        const recorded = await services.shards.read(requestId, customer);
        return recorded.ok ?
            serviceResponse(recorded.value, requestId) :
            issueResponse(submissionIssue(recorded.issue), requestId);
    }
    const offset = context.req.query("offset") ?? "0";
    if (!offsetPattern.test(offset)) {
        return issueResponse(notRun(400, "caller.invalid", "The offset must be a whole number.", { path: ["query", "offset"] }));
    }
    const answer = await services.streams.find(requestId, customer);
    if (!answer.ok) {
        return issueResponse(answer.issue, requestId);
    }
    const isStream = context.req.header("accept")?.includes("application/json") !== true;
    return sendAnswer(context, gate, answer.value, { isStream, offset: Number(offset) });
}
