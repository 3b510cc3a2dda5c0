import { brandAs } from "@filbertrelay/kernel";
import type { HostId, RequestId } from "@filbertrelay/kernel";
import { randomBytes } from "node:crypto";
import * as z from "zod";

/** The body of a chat-completions request. */
export const chatRequestSchema = z.object({
    model: z.string().min(1),
    messages: z.array(z.object({ role: z.enum(["system", "user", "assistant"]), content: z.string() })).min(1),
    max_tokens: z.int().min(1).max(100_000).default(512),
    stream: z.boolean().default(false),
    seed: z.int().min(0).optional(),
    temperature: z.number().min(0).max(2).optional(),
    top_p: z.number().min(0).max(1).optional(),
    stop: z.union([z.string(), z.array(z.string()).max(4)]).optional(),
});

/** A validated chat-completions request. */
export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** A model request as entry hosts store it and copy it to each other. */
export const modelRequestSchema = z.object({
    model: z.string(),
    messages: z.array(z.object({ role: z.enum(["system", "user", "assistant"]), content: z.string() })),
    maxTokens: z.int(),
    seed: z.int(),
    priority: z.int(),
    /** Wall-clock milliseconds after which the caller no longer waits for the first token. */
    deadlineAt: z.number(),
    sampling: z.record(z.string(), z.union([z.number(), z.string(), z.array(z.string())])),
});

/** A model request with its priority, deadline and seed. */
export type ModelRequest = z.infer<typeof modelRequestSchema>;

/** Converts a caller's request to the stored form. */
export function toModelRequest(
    chat: ChatRequest,
    scheduling: { readonly priority: number; readonly deadlineAt: number; },
): ModelRequest {
    const sampling = { temperature: chat.temperature, top_p: chat.top_p, stop: chat.stop };
    return {
        model: chat.model,
        messages: chat.messages,
        maxTokens: chat.max_tokens,
        seed: chat.seed ?? randomBytes(4).readUInt32BE(),
        sampling: Object.fromEntries(
            Object.entries(sampling).filter(([, value]) => value !== undefined),
        ) as ModelRequest["sampling"],
        ...scheduling,
    };
}

const randomIdBytes = 12;
const modelRequestIdPattern = /^m\.([a-z0-9-]+)\.([a-z0-9-]*)\.([A-Za-z0-9_-]+)$/;

/** Creates the id of a model request, which names the hosts that hold the request. */
export function createModelRequestId(holder: HostId, backup: HostId | undefined): RequestId {
    return brandAs<RequestId>(`m.${holder}.${backup ?? ""}.${randomBytes(randomIdBytes).toString("base64url")}`);
}

/** The hosts that hold a model request, the accepting host first; `undefined` for an id of another format. */
export function holdersOf(requestId: string): readonly HostId[] | undefined {
    const match = modelRequestIdPattern.exec(requestId);
    return match === null ? undefined : match.slice(1, 3).filter(host => host !== "").map(host => brandAs<HostId>(host));
}
