import { checkSettings, hostAndPortSchema } from "@filbertrelay/configuration";
import type { SettingsIssue } from "@filbertrelay/configuration";
import type { Outcome } from "@filbertrelay/kernel";
import * as z from "zod";

const seconds = z.number().positive();

/** The settings file of an ingress host, in TOML; unknown fields are ignored. */
export const ingressSettingsSchema = z.object({
    host: z.object({
        id: z.string().min(1),
        failureDomain: z.string().min(1),
        /** Listen address for callers. */
        callerAddress: hostAndPortSchema,
        /** Listen address for other hosts. */
        peerAddress: hostAndPortSchema,
        /** Listen address of the directory, where callers look up hosts; absent on hosts without it. */
        directoryAddress: hostAndPortSchema.optional(),
        /** Listen address of the readiness check. */
        readyAddress: hostAndPortSchema.optional(),
        /** Listen address of the metrics. */
        metricsAddress: hostAndPortSchema.optional(),
        /** Fraction of a processor core that the host may use, and the core's speed relative to the slowest class of hosts. */
        processorShare: z.number().positive().default(1),
        processorSpeed: z.number().positive().default(1),
    }),
    cluster: z.object({ keys: z.array(z.string().min(16)).min(1) }),
    store: z.object({
        address: hostAndPortSchema,
        /** Rate limits of the store for all hosts together. */
        readsPerSecond: z.number().positive(),
        writesPerSecond: z.number().positive(),
    }),
    /** Absent where hosts have no duties. */
    duties: z.object({ address: hostAndPortSchema, usage: z.boolean().default(true), scaling: z.boolean().default(true) })
        .optional(),
    promises: z.object({
        /** Length of the window over which customers' limits are enforced. */
        quotaWindowSeconds: seconds.default(8),
        /** Usage above a limit in one window that is still accepted. */
        quotaTolerance: z.number().min(0).default(0),
        /** Window and size of the retry budget; see `createWindowedRetryBudget`. */
        repeatWindowSeconds: seconds.default(10),
        repeatRatio: z.number().min(0).default(0.1),
        repeatExtra: z.number().min(0).default(10),
        /** Length of a usage report's window, and how long after its end the report is due. */
        usageWindowSeconds: seconds.default(60),
        usageDueSeconds: seconds.default(60),
        /** Longest time between a stop signal and the exit of the process. */
        stopLimitSeconds: seconds.default(30),
        /** How long a host that has lost the duties must not acquire them again. */
        leadPauseMs: z.number().positive().default(3_000),
        /** Time within which a host must apply the removal of an endpoint and a new configuration. */
        endpointLeaveMs: z.number().positive().default(2_000),
        /** Interval at which endpoints report; their entries are removed after three intervals without a report. */
        endpointHeartbeatMs: z.number().positive().default(1_200),
        configurationApplyMs: z.number().positive().default(2_000),
        /** Greatest share of a service's requests that may go to a version that is not proven; without it there are no roll-outs. */
        exposureRatio: z.number().gt(0).lt(1).optional(),
        /** Requests beyond that share that are permitted; kept as a margin. */
        exposureTolerance: z.number().min(0).default(0),
        /** Time after which a bad version gets no further requests. */
        rollbackMs: z.number().positive().optional(),
        /** Longest time between an endpoint's sending of an event and its arrival at the caller. */
        eventDelayMs: z.number().positive().default(120),
        /** Time to live of the directory's responses. */
        directoryKeepSeconds: seconds.default(2),
    }).prefault({}),
    /** What callers may take of the host. */
    limits: z.object({
        /** Memory and descriptors of the process; by default those that the system allows. */
        memoryMb: z.number().positive().optional(),
        descriptors: z.number().int().positive().optional(),
        /** Most requests of a connection that are read before the first one is answered. */
        requestsAhead: z.number().int().min(1).default(8),
        /** A body or an answer that makes no progress for this long ends. */
        stallSeconds: seconds.default(20),
    }).prefault({}),
    log: z.object({ level: z.enum(["debug", "info", "warn", "error"]).default("info") }).prefault({}),
});

export type IngressSettings = z.infer<typeof ingressSettingsSchema>;

/** Parses and validates a settings file. */
export function parseIngressSettings(text: string): Outcome<IngressSettings, SettingsIssue> {
    return checkSettings(text, ingressSettingsSchema);
}
