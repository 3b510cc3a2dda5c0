import { declareTopic } from "@filbertrelay/wire";
import * as z from "zod";
import type { HeaderList } from "../contract.js";

/** Bytes of an answer that a host sends ahead of what the calling host has taken. */
export const relayWindowBytes = 131_072;
/** The endpoint is not read while this much of its answer waits to be sent on; with one more read it stays below 64 KB. */
export const heldAnswerBytes = 32_768;

const bytesSchema = z.instanceof(Buffer);
const headersSchema = z.array(z.tuple([z.string(), z.string()]));

const refusalSchema = z.enum(["full", "stopping", "unreachable", "unknownEndpoint", "leaving"]);

/** Why a host does not send a request to an endpoint for another one. */
export type RelayRefusal = z.infer<typeof refusalSchema>;

const requestSchema = z.object({
    service: z.string(),
    endpointId: z.string(),
    startedAtMs: z.number(),
    method: z.string(),
    target: z.string(),
    /** As the endpoint gets them. */
    headers: headersSchema,
    body: bytesSchema,
    /** Longest idle time of a connection that is reused; absent without a limit. */
    maximumIdleMs: z.number().optional(),
    /** Time after which nobody needs the answer any longer. */
    remainingMs: z.number(),
});

/** A request that another host sends to an endpoint. */
export type RelayRequest = z.output<typeof requestSchema>;

const portionSchema = z.object({
    /** First portion of a request that is relayed: whether its connection has carried an earlier one. */
    isReused: z.boolean().optional(),
    /** Only portion of a request that is not relayed; no byte of it went to the endpoint. */
    refusal: refusalSchema.optional(),
    head: z.object({
        status: z.number(),
        statusText: z.string(),
        headers: headersSchema,
        isReusable: z.boolean(),
    }).optional(),
    body: bytesSchema.optional(),
    /** In the last portion; without a failure the answer is complete. */
    end: z.object({
        failure: z.object({
            reason: z.enum(["unreachable", "reset", "truncated", "malformed", "cancelled"]),
            wasSent: z.boolean(),
            detail: z.string(),
            isRefused: z.boolean(),
        }).optional(),
    }).optional(),
});

/** What has come of an answer since the portion before. */
export type RelayPortion = z.output<typeof portionSchema>;

/** Copies headers into the form that is sent. */
export function toPairs(headers: HeaderList): [string, string][] {
    return headers.map(([name, value]) => [name, value]);
}

/** Requests to endpoints through other hosts. */
export const relayTopic = declareTopic(
    "ingress.relay",
    { request: requestSchema, reply: portionSchema },
    { windowBytes: relayWindowBytes },
);
