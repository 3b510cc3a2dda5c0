import type { ServiceResponse } from "@filbertrelay/endpoints";
import { failure } from "@filbertrelay/kernel";
import type { SubmitResult } from "@filbertrelay/policy";
import { createHash } from "node:crypto";
import type { Submission, SubmissionIssue } from "../contract.js";

const messages: Record<SubmissionIssue["code"], string> = {
    "shard.notOwned": "No host currently owns the shard of this request.",
    "shard.noWitness": "Neither the key-value service nor the standbys of the shard can be reached.",
    "shard.unavailable": "The owner of the shard of this request could not be reached in time.",
    "shard.unknown": "It is not known whether the request was executed; it will not be sent again.",
    "shard.keyReused": "The idempotency key was used for a different request.",
    "shard.overloaded": "The shard has too many unfinished requests.",
    "shard.expired": "The request was executed, but its result is no longer stored.",
    "endpoint.refused": "No endpoint accepted the request.",
};

/** A hash that identifies the request; headers are left out because they may differ between retries. */
export function fingerprintOf(submission: Submission): string {
    const { service, operation, method, path, body } = submission;
    return createHash("sha256").update(JSON.stringify([service, operation, method, path])).update(body).digest("hex").slice(
        0,
        32,
    );
}

/** Decodes a stored response for the caller. */
export function decodeResponse(
    stored: { status: number; headers: Readonly<Record<string, string>>; body: string; },
): ServiceResponse {
    return { status: stored.status, headers: stored.headers, body: new Uint8Array(Buffer.from(stored.body, "base64")) };
}

/** Converts a failed result of the state machine into the issue returned to the caller. */
export function toFailure(
    result: Extract<SubmitResult, { ok: false; }>,
): { readonly ok: false; readonly issue: SubmissionIssue; } {
    return failure({ code: result.code, executed: result.executed, message: messages[result.code] });
}
