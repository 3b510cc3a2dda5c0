import { declareTopic } from "@filbertrelay/wire";
import * as z from "zod";

const holderSchema = z.object({ host: z.string(), incarnation: z.string() });

const holderSetSchema = z.object({
    epoch: z.int(),
    change: z.int(),
    owner: holderSchema,
    standbys: z.array(holderSchema),
});

/** The response of a plain service, as stored and as sent between hosts. */
export const responseSchema = z.object({
    status: z.int(),
    headers: z.record(z.string(), z.string()),
    body: z.string(),
});

const entrySchema = z.object({
    key: z.string(),
    fingerprint: z.string(),
    customer: z.string(),
    service: z.string(),
    operation: z.string(),
    state: z.enum(["accepted", "intent", "done", "notRun", "unknown"]),
    epoch: z.int(),
    revision: z.int(),
    intent: z.string().optional(),
    endpoints: z.array(z.string()),
    sinceMs: z.number(),
    result: responseSchema.optional(),
    isRepeat: z.boolean().optional(),
});

/** A shard's value in the key-value service. */
export const shardValueSchema = holderSetSchema.extend({
    writer: z.string(),
    sequence: z.int(),
    entries: z.array(entrySchema),
    unknownUntilMs: z.number(),
});

const sealedKeysSchema = z.array(z.tuple([z.string(), z.number()]));

const peerRequestSchema = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("copy"),
        set: holderSetSchema,
        sequence: z.int(),
        issued: z.int(),
        storedSequence: z.int(),
        entries: z.array(entrySchema),
    }),
    z.object({ type: z.literal("promise"), epoch: z.int() }),
    z.object({ type: z.literal("release"), epoch: z.int() }),
    z.object({
        type: z.literal("holders"),
        set: holderSetSchema,
        version: z.int(),
        storedSequence: z.int(),
        value: shardValueSchema,
        sealed: sealedKeysSchema,
    }),
    z.object({ type: z.literal("activate"), set: holderSetSchema }),
    z.object({ type: z.literal("query"), epoch: z.int() }),
    z.object({
        type: z.literal("settle"),
        key: z.string(),
        intent: z.string(),
        state: z.enum(["done", "notRun"]),
        entry: entrySchema,
    }),
]);

const peerRequestSchemas = {
    request: z.object({ generation: z.int(), shard: z.int(), to: holderSchema, request: peerRequestSchema }),
    reply: z.object({
        holder: holderSchema,
        ok: z.boolean(),
        newest: holderSetSchema.optional(),
        agreed: holderSetSchema.optional(),
        copies: z.array(entrySchema).optional(),
    }),
};

/** Topics of requests between the shard state machines of two hosts, by request type. */
export const peerRequestTopics = {
    copy: declareTopic("shard.copy", peerRequestSchemas),
    promise: declareTopic("shard.promise", peerRequestSchemas),
    release: declareTopic("shard.release", peerRequestSchemas),
    holders: declareTopic("shard.holders", peerRequestSchemas),
    activate: declareTopic("shard.activate", peerRequestSchemas),
    query: declareTopic("shard.query", peerRequestSchemas),
    settle: declareTopic("shard.settle", peerRequestSchemas),
};

const resultSchema = z.discriminatedUnion("ok", [
    z.object({ ok: z.literal(true), response: responseSchema }),
    z.object({
        ok: z.literal(false),
        code: z.enum([
            "shard.notOwned",
            "shard.noWitness",
            "shard.unavailable",
            "shard.unknown",
            "shard.keyReused",
            "shard.overloaded",
            "shard.expired",
            "endpoint.refused",
        ]),
        executed: z.enum(["no", "unknown", "yes"]),
    }),
]);

/** Forwards a submission to the owner of its shard; the reply names the owner known to the receiver. */
export const submitTopic = declareTopic("shard.submit", {
    request: z.object({
        generation: z.int(),
        shard: z.int(),
        customer: z.string(),
        service: z.string(),
        operation: z.string(),
        idempotencyKey: z.string(),
        method: z.string(),
        path: z.string(),
        headers: z.record(z.string(), z.string()),
        body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
        remainingMs: z.number(),
    }),
    reply: z.object({ answer: resultSchema, owner: holderSchema.optional() }),
});

/** Reads a recorded result from the owner of its shard. */
export const readTopic = declareTopic("shard.read", {
    request: z.object({ generation: z.int(), shard: z.int(), key: z.string(), customer: z.string() }),
    reply: z.object({ answer: resultSchema, owner: holderSchema.optional() }),
});
