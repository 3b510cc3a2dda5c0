import type { ServiceResponse } from "@filbertrelay/endpoints";
import { failure } from "@filbertrelay/kernel";
import type { SubmitResult } from "@filbertrelay/policy";
import { createHash } from "node:crypto";
import type { Submission, SubmissionIssue } from "../contract.js";

const messages: Record<SubmissionIssue["code"], string> = {
    "shard.notOwned": "No host owns the shard of this request at present.",
    "shard.noWitness": "The key-value service and the standbys of the shard can't be reached.",
    "shard.unavailable": "The owner of the shard of this request can't be reached in time.",
    "shard.unknown": "It is not known whether the request was executed; it will not be sent again.",
    "shard.keyReused": "The idempotency key was used for a different request.",
    "shard.overloaded": "The shard has too many open requests.",
    "shard.expired": "The request was executed; its result is no longer kept.",
    "endpoint.refused": "No endpoint accepted the request.",
};

/** A hash of what a submission asks for; headers may differ when it is sent again. */
export function fingerprintOf(submission: Submission): string {
    const { service, operation, method, path, body } = submission;
    return createHash("sha256").update(JSON.stringify([service, operation, method, path])).update(body).digest("hex").slice(
        0,
        32,
    );
}

/** Turns a stored response into the one that the caller gets. */
export function decodeResponse(
    stored: { status: number; headers: Readonly<Record<string, string>>; body: string; },
): ServiceResponse {
    return { status: stored.status, headers: stored.headers, body: new Uint8Array(Buffer.from(stored.body, "base64")) };
}

/** Turns a refusal of the machine into what the caller is told. */
export function toFailure(
    answer: Extract<SubmitResult, { ok: false; }>,
): { readonly ok: false; readonly issue: SubmissionIssue; } {
    return failure({ code: answer.code, executed: answer.executed, message: messages[answer.code] });
}
