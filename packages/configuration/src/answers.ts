import type { Issue, Outcome } from "@filbertrelay/kernel";
import { failure, success } from "@filbertrelay/kernel";
import { parse } from "smol-toml";
import * as z from "zod";
import { findReferenceIssues } from "./reference.js";

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,39}$/, "Expected 1 to 40 lower-case letters, digits or hyphens.");
const operationNameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9-]{0,39}$/, "Expected 1 to 40 letters, digits or hyphens.");
const keyHashSchema = z.string().regex(/^[0-9a-f]{64}$/, "Expected a SHA-256 hash in lower-case hexadecimal.");
const keyHashesSchema = z.array(keyHashSchema).min(1).max(2);
const centsSchema = z.number().min(0.001).max(1_000_000);
const methodSchema = z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]);

const operationAnswerSchema = z.strictObject({
    name: operationNameSchema,
    method: methodSchema,
    path: z.string().regex(/^\/[\w\-./~]*$/, "Expected a path that starts with a slash, without query."),
    /** True when running the operation twice has the same effect as running it once. */
    idempotent: z.boolean(),
});

const serviceAnswerSchema = z.strictObject({
    name: nameSchema,
    deduplicates: z.boolean().default(false),
    answersStatus: z.boolean().default(false),
    checksFencing: z.boolean().default(false),
    operations: z.array(operationAnswerSchema).min(1).max(100),
});

const modelAnswerSchema = z.strictObject({
    name: nameSchema,
    version: z.string().min(1).max(40),
    adapters: z.array(nameSchema).max(100).default([]),
    enginesAtPeak: z.int().min(1).max(100_000),
    contextTokens: z.int().min(256).max(10_000_000),
    weightGigabytes: z.number().min(0.001).max(10_000),
    checksFencing: z.boolean().default(false),
});

const callerAnswerSchema = z.strictObject({
    name: nameSchema,
    /** Smaller is more urgent. */
    priority: z.int().min(0).max(9),
    waitSeconds: z.number().min(0.1).max(86_400),
});

const customerAnswerSchema = z.strictObject({
    name: nameSchema,
    keyHashes: keyHashesSchema,
    size: z.enum(["small", "large"]).default("small"),
    caller: nameSchema,
    concurrencyLimit: z.int().min(1).max(100_000).optional(),
});

const hostClassAnswerSchema = z.strictObject({
    name: nameSchema,
    accelerators: z.int().min(0).max(64),
    /** Prices in cents per hour by failure domain; a class without a reclaimable price is offered on demand only. */
    prices: z.record(nameSchema, z.strictObject({ reclaimableCents: centsSchema.optional(), onDemandCents: centsSchema })),
});

/** Schema of the questionnaire's answers. */
export const answersSchema = z.strictObject({
    deployment: nameSchema,
    title: z.string().min(1).max(80),
    failureDomains: z.array(nameSchema).min(1).max(100),
    /** Which goal has more weight when latency and cost conflict. */
    favours: z.enum(["latency", "cost", "balance"]),
    operatorKeyHashes: keyHashesSchema,
    latencyTarget: z.strictObject({
        firstTokenMs: z.int().min(1).max(600_000),
        betweenTokensMs: z.int().min(1).max(60_000),
    }),
    retention: z.strictObject({
        resultsHours: z.number().min(0.1).max(720).default(24),
        keysDays: z.number().min(0.1).max(3_650).default(30),
    }).prefault({}),
    keyValue: z.strictObject({
        readsPerSecond: z.int().min(20).max(1_000_000).default(200),
        writesPerSecond: z.int().min(10).max(1_000_000).default(50),
    }).prefault({}),
    /** To be raised by one with every change of the number of shards. */
    shardGeneration: z.int().min(1).max(1_000_000).default(1),
    callers: z.array(callerAnswerSchema).min(1).max(100),
    customers: z.array(customerAnswerSchema).min(1).max(10_000),
    models: z.array(modelAnswerSchema).max(1_000).default([]),
    services: z.array(serviceAnswerSchema).max(1_000).default([]),
    hostClasses: z.array(hostClassAnswerSchema).max(1_000).default([]),
});

/** The checked answers. */
export type Answers = z.infer<typeof answersSchema>;

/** Why answers are rejected; `issues` holds every error with its path. */
export interface AnswersIssue extends Issue {
    readonly code: "answers.syntax" | "answers.invalid";
    readonly issues: readonly Issue[];
}

/** Parses the questionnaire's answers from TOML and reports all errors at once. */
export function parseAnswers(text: string): Outcome<Answers, AnswersIssue> {
    try {
        return checkAnswers(parse(text));
    }
    catch (error) {
        const issue = { code: "answers.syntax", message: error instanceof Error ? error.message : String(error) };
        return failure({ code: "answers.syntax", message: "The answers are not valid TOML.", issues: [issue] });
    }
}

/** Checks parsed answers: types and limits, then duplicate names and references between names. */
export function checkAnswers(document: unknown): Outcome<Answers, AnswersIssue> {
    const checked = answersSchema.safeParse(document);
    const issues = [...toIssues(checked.error), ...findReferenceIssues(document)];
    if (checked.success && issues.length === 0) {
        return success(checked.data);
    }
    return failure({ code: "answers.invalid", message: `The answers have ${issues.length} errors.`, issues });
}

function toIssues(error: z.ZodError | undefined): Issue[] {
    return (error?.issues ?? []).map(issue => ({
        code: `answers.${issue.code}`,
        message: issue.message,
        path: issue.path.map(part => typeof part === "symbol" ? String(part) : part),
    }));
}
