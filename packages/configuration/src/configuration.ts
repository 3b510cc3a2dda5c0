import * as z from "zod";

/** An operation of a plain service and whether it is safe to retry. */
export const operationSchema = z.object({
    name: z.string().min(1),
    method: z.string().min(1),
    /** Path prefix below the service's root. */
    path: z.string().startsWith("/"),
    idempotent: z.boolean(),
});

/** A plain service and the guarantees of its endpoints. */
export const serviceSchema = z.object({
    name: z.string().min(1),
    operations: z.array(operationSchema).min(1),
    /** The endpoint itself runs each idempotency key at most once. */
    deduplicates: z.boolean(),
    /** The endpoint can be queried whether it ran an idempotency key. */
    answersStatus: z.boolean(),
    /** The endpoint rejects orders and requests with an outdated fencing token. */
    checksFencing: z.boolean(),
});

/** A model and the properties of its engines. */
export const modelSchema = z.object({
    name: z.string().min(1),
    version: z.string().min(1),
    adapters: z.array(z.string()),
    checksFencing: z.boolean(),
    contextTokens: z.int().positive(),
    /** Engines needed at peak in the whole deployment. */
    enginesAtPeak: z.int().positive(),
    /** Size of the weights, which determines the load time from the weight store. */
    weightBytes: z.int().positive(),
});

/** A kind of caller: the priority and deadline of its requests. */
export const callerKindSchema = z.object({
    name: z.string().min(1),
    /** Smaller is more urgent; 0 to 9. */
    priority: z.int().min(0).max(9),
    deadlineMs: z.int().positive(),
});

/** A customer: key hashes, share of the capacity and kind of caller. */
export const customerSchema = z.object({
    name: z.string().min(1),
    /** SHA-256 of the customer's keys in hexadecimal; two are valid during a key rotation. */
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
    /** Relative share of the capacity under contention. */
    weight: z.number().positive(),
    callerKind: z.string().min(1),
    /** Model requests that the customer may have in progress on all entry hosts together. */
    concurrencyLimit: z.int().positive(),
});

/** A host class with its prices in one failure domain, in thousandths of a cent per hour. */
export const hostClassSchema = z.object({
    name: z.string().min(1),
    failureDomain: z.string().min(1),
    accelerators: z.int().min(0),
    reclaimablePrice: z.number().positive().optional(),
    onDemandPrice: z.number().positive(),
});

/** Schema of the configuration that all daemons use; generated from the questionnaire's answers. */
export const configurationSchema = z.object({
    deployment: z.string().min(1),
    failureDomains: z.array(z.string().min(1)).min(1),
    hostClasses: z.array(hostClassSchema),
    models: z.array(modelSchema),
    services: z.array(serviceSchema),
    customers: z.array(customerSchema).min(1),
    callerKinds: z.array(callerKindSchema).min(1),
    operatorKeyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
    weights: z.object({ latency: z.number().min(0), cost: z.number().min(0) }),
    latencyTarget: z.object({ firstTokenMs: z.int().positive(), betweenTokensMs: z.int().positive() }),
    shards: z.object({
        generation: z.int().positive(),
        count: z.int().min(1).max(1024),
        /** Longest time that a batch waits before it is committed. */
        batchIntervalMs: z.int().positive(),
        /** How long results are kept for callers that ask again. */
        resultRetentionMs: z.int().positive(),
        /** How long finished idempotency keys are kept. */
        keyRetentionMs: z.int().positive(),
    }),
    keyValueBudget: z.object({ readsPerSecond: z.int().positive(), writesPerSecond: z.int().positive() }),
    retryBudgetRatio: z.number().min(0).max(1),
    entryPointKeepMs: z.int().positive(),
});

/** The generated configuration. */
export type Configuration = z.infer<typeof configurationSchema>;

/** The configuration as it is stored under `configuration/head`. */
export const configurationHeadSchema = z.object({
    version: z.int().positive(),
    /** Unique per submission, so that a submitter whose write got no response can tell whether it took effect. */
    submissionId: z.string().min(1),
    /** SHA-256 of the canonical configuration in hexadecimal. */
    digest: z.string().regex(/^[0-9a-f]{64}$/),
    submittedAt: z.iso.datetime(),
    answers: z.unknown(),
    configuration: configurationSchema,
});

/** The stored configuration with its version. */
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/** The key of the configuration head in the key-value service. */
export const configurationHeadKey = "configuration/head";
