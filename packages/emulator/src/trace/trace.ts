import { readFileSync, writeFileSync } from "node:fs";
import * as z from "zod";

/** A piece of a prompt: its name determines its text, so pieces with one name are equal up to the shorter length. */
export const promptPartSchema = z.tuple([z.string().min(1), z.int().positive()]);

/** The first line of a trace file. */
export const traceHeaderSchema = z.object({
    format: z.literal("filbertrelay-trace"),
    version: z.literal(1),
    deployment: z.string().min(1),
    purpose: z.enum(["tuning", "reported"]),
    seed: z.int(),
    engines: z.int().positive(),
    /** Size of one engine's prefix cache in blocks of 64 tokens. */
    engineCacheBlocks: z.int().positive(),
    entryHosts: z.int().positive(),
    weights: z.object({ latency: z.number(), cost: z.number() }),
    failureDomains: z.array(z.string().min(1)),
    customers: z.array(
        z.object({ name: z.string().min(1), weight: z.number().positive(), concurrencyLimit: z.int().positive() }),
    ),
    callerKinds: z.array(z.object({ name: z.string().min(1), priority: z.int(), deadlineMs: z.int().positive() })),
});

/** A model request of a trace. */
export const modelEntrySchema = z.object({
    type: z.literal("model"),
    /** Milliseconds since the start of the traced day, 00:00 local time. */
    at: z.int().min(0),
    customer: z.string(),
    caller: z.string(),
    kind: z.string(),
    /** The first part is the system message, the others make up the user message. Lengths are in tokens. */
    parts: z.array(promptPartSchema).min(1),
    /** Length of the answer in tokens. */
    answer: z.int().positive(),
});

/** A request to a plain service; `key` is present on non-idempotent ones. */
export const serviceEntrySchema = z.object({
    type: z.literal("service"),
    at: z.int().min(0),
    customer: z.string(),
    caller: z.string(),
    service: z.string(),
    operation: z.string(),
    key: z.string().optional(),
});

/** One line of a trace after the header. */
export const traceEntrySchema = z.discriminatedUnion("type", [modelEntrySchema, serviceEntrySchema]);

/** The header of a trace. */
export type TraceHeader = z.infer<typeof traceHeaderSchema>;
/** A model request of a trace. */
export type ModelEntry = z.infer<typeof modelEntrySchema>;
/** A request to a plain service in a trace. */
export type ServiceEntry = z.infer<typeof serviceEntrySchema>;
/** A request of a trace. */
export type TraceEntry = z.infer<typeof traceEntrySchema>;

/** A trace: header and requests in order of time. */
export interface Trace {
    readonly header: TraceHeader;
    readonly entries: readonly TraceEntry[];
}

/** Renders a trace as JSON lines. */
export function formatTrace(trace: Trace): string {
    return [trace.header, ...trace.entries].map(line => JSON.stringify(line)).join("\n") + "\n";
}

/** Parses JSON lines; throws a `ZodError` or `SyntaxError` when a line doesn't have the documented form. */
export function parseTrace(text: string): Trace {
    const [first, ...rest] = text.split("\n").filter(line => line !== "");
    return {
        header: traceHeaderSchema.parse(JSON.parse(first ?? "null")),
        entries: rest.map(line => traceEntrySchema.parse(JSON.parse(line))),
    };
}

/** Reads a trace file. */
export function readTrace(file: string | URL): Trace {
    return parseTrace(readFileSync(file, "utf8"));
}

/** Writes a trace file. */
export function writeTrace(file: string | URL, trace: Trace): void {
    writeFileSync(file, formatTrace(trace));
}

/** The file of a committed trace. */
export function locateTrace(deployment: string, purpose: TraceHeader["purpose"]): URL {
    return new URL(`../../traces/${deployment}-${purpose}.jsonl`, import.meta.url);
}
