import type { CustomerId, RequestId } from "@filbertrelay/kernel";
import { brandAs } from "@filbertrelay/kernel";
import type { ShardService } from "../contract.js";
import type { StreamService } from "../streams/service.js";
import { sendCompletion } from "./chat.js";
import type { CallerContext, RequestGuard } from "./context.js";
import { issueResponse, notExecutedIssue } from "./error.js";
import { serviceResponse, toCallerIssue } from "./service.js";

const offsetPattern = /^\d{1,9}$/;

/** Handles `GET /v1/requests/ID`: the rest of a completion from an offset, or the recorded response to a non-idempotent request. */
export async function handleRead(
    context: CallerContext,
    guard: RequestGuard,
    services: { readonly streams: StreamService; readonly shards: ShardService; },
): Promise<Response> {
    const caller = guard.authenticate(context);
    if (!caller.ok) {
        return issueResponse(caller.issue);
    }
    const requestId = brandAs<RequestId>(context.req.param("id") ?? "");
    const customer = brandAs<CustomerId>(caller.value.customer.name);
    if (requestId.startsWith("n.")) {
        const recorded = await services.shards.read(requestId, customer);
        return recorded.ok ?
            serviceResponse(recorded.value, requestId) :
            issueResponse(toCallerIssue(recorded.issue), requestId);
    }
    const offset = context.req.query("offset") ?? "0";
    if (!offsetPattern.test(offset)) {
        return issueResponse(
            notExecutedIssue(400, "caller.invalid", "The offset must be a whole number.", { path: ["query", "offset"] }),
        );
    }
    const answer = await services.streams.find(requestId, customer);
    if (!answer.ok) {
        return issueResponse(answer.issue, requestId);
    }
    const isStream = context.req.header("accept")?.includes("application/json") !== true;
    return sendCompletion(context, guard, answer.value, { isStream, offset: Number(offset) });
}
