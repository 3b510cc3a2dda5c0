import { declareTopic } from "@filbertrelay/wire";
import * as z from "zod";
import { modelRequestSchema } from "./request.js";

const finishSchema = z.object({
    reason: z.enum(["stop", "length"]),
    promptTokens: z.int(),
    cachedTokens: z.int(),
    generatedTokens: z.int(),
});

const callerIssueSchema = z.object({
    status: z.int(),
    code: z.string(),
    message: z.string(),
    executed: z.enum(["no", "yes", "unknown"]),
});

/** The end of an answer in messages between peers. */
export const endSchema = z.discriminatedUnion("type", [
    z.object({ type: z.literal("finished"), finish: finishSchema }),
    z.object({ type: z.literal("failed"), issue: callerIssueSchema }),
    z.object({ type: z.literal("moved") }),
]);

/** The change of one answer since the last copy. */
export const answerCopySchema = z.object({
    requestId: z.string(),
    /** Included in the first copy, and again when the backup host no longer knows the request. */
    head: z.object({ customer: z.string(), request: modelRequestSchema }).optional(),
    /** The engine that currently generates the answer and at which the generation can be resumed. */
    engineAddress: z.string().optional(),
    fromOffset: z.int().min(0),
    tokens: z.array(z.string()),
    end: endSchema.optional(),
});

/** The change of one answer since the last copy. */
export type AnswerCopy = z.infer<typeof answerCopySchema>;

/** Copies the progress of answers to their backup host; `adopt` asks the host to continue them now. */
export const backupTopic = declareTopic("stream.backup", {
    request: z.object({ copies: z.array(answerCopySchema), adopt: z.boolean() }),
    reply: z.object({ unknown: z.array(z.string()) }),
});

/** Reads an answer from the host that holds it, as a stream of chunks. */
export const readTopic = declareTopic("stream.read", {
    request: z.object({ requestId: z.string(), customer: z.string(), offset: z.int().min(0), adopt: z.boolean() }),
    reply: z.discriminatedUnion("type", [
        z.object({ type: z.literal("found"), model: z.string() }),
        z.object({ type: z.literal("notFound") }),
        z.object({ type: z.literal("tokens"), fromOffset: z.int(), tokens: z.array(z.string()) }),
        z.object({ type: z.literal("end"), end: endSchema }),
    ]),
});
