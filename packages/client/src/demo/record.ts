import * as z from "zod";

const percentilesSchema = z.object({ count: z.int(), p50: z.number(), p95: z.number(), p99: z.number(), maximum: z.number() });

/** One request as it is kept in a result file; times are milliseconds since the start of the run. */
export const requestRecordSchema = z.object({
    kind: z.string(),
    customer: z.string(),
    atMs: z.number(),
    outcome: z.string(),
    requestId: z.string().optional(),
    firstTokenMs: z.number().optional(),
    durationMs: z.number(),
    reconnects: z.int(),
    attempts: z.int(),
    errorCode: z.string().optional(),
});

/** The result of a demo or replay. */
export const resultSchema = z.object({
    format: z.literal("filbertrelay-result"),
    formatVersion: z.literal(1),
    deployment: z.string(),
    command: z.string(),
    seed: z.int().optional(),
    startedAt: z.iso.datetime(),
    durationMs: z.number(),
    events: z.array(z.object({ atMs: z.number(), text: z.string() })),
    requests: z.array(requestRecordSchema),
    outcomes: z.array(z.object({ kind: z.string(), outcome: z.string(), count: z.int() })),
    firstTokenMs: percentilesSchema,
    betweenTokensMs: percentilesSchema,
    serviceMs: percentilesSchema,
    /** Executions per idempotency key: how many keys ran that many times. */
    executions: z.array(z.object({ executions: z.int(), keys: z.int() })),
    /** Tokens recomputed by cause, as the daemons count them. */
    recomputedTokens: z.record(z.string(), z.number()),
    /** Cost in thousandths of a cent. */
    cost: z.array(
        z.object({ failureDomain: z.string(), role: z.string(), reclaimable: z.boolean(), hosts: z.int(), cost: z.number() }),
    ),
    checks: z.array(z.object({ name: z.string(), passed: z.boolean(), details: z.string() })),
});

/** One request of a result. */
export type RequestRecord = z.infer<typeof requestRecordSchema>;

/** The result of a demo or replay, as it is written to a file. */
export type RunResult = z.infer<typeof resultSchema>;

/** Percentiles of a quantity in milliseconds. */
export type Percentiles = z.infer<typeof percentilesSchema>;
