import { checkSettings, hostAndPortSchema } from "@filbertrelay/configuration";
import type { SettingsIssue } from "@filbertrelay/configuration";
import type { Outcome } from "@filbertrelay/kernel";
import { z } from "zod";

const seconds = z.number().positive();

/** The settings file of an ingress host, in TOML; fields that are not known are ignored. */
export const ingressSettingsSchema = z.object({
    host: z.object({
        id: z.string().min(1),
        failureDomain: z.string().min(1),
        /** Where callers connect. */
        callerAddress: hostAndPortSchema,
        /** Where other hosts connect. */
        peerAddress: hostAndPortSchema,
        /** Where callers ask which hosts to use; absent on hosts that do not answer that. */
        directoryAddress: hostAndPortSchema.optional(),
        /** Where readiness is answered. */
        readyAddress: hostAndPortSchema.optional(),
        /** Where metrics are served. */
        metricsAddress: hostAndPortSchema.optional(),
        /** Part of a processor core that the host may use, and the speed of that core relative to the slowest class of hosts. */
        processorShare: z.number().positive().default(1),
        processorSpeed: z.number().positive().default(1),
    }),
    cluster: z.object({ keys: z.array(z.string().min(16)).min(1) }),
    store: z.object({
        address: hostAndPortSchema,
        /** Calls that all hosts together may make. */
        readsPerSecond: z.number().positive(),
        writesPerSecond: z.number().positive(),
    }),
    /** Absent where no duties are due. */
    duties: z.object({ address: hostAndPortSchema, usage: z.boolean().default(true), scaling: z.boolean().default(true) })
        .optional(),
    promises: z.object({
        /** Length of the window in which customers' limits hold. */
        quotaWindowSeconds: seconds.default(8),
        /** Use above a limit in one window that is still accepted. */
        quotaTolerance: z.number().min(0).default(0),
        /** Window and size of the budget of repeats; see `createRepeatBudget`. */
        repeatWindowSeconds: seconds.default(10),
        repeatRatio: z.number().min(0).default(0.1),
        repeatExtra: z.number().min(0).default(10),
        /** Windows of the usage reports, and how long after its end one is due. */
        usageWindowSeconds: seconds.default(60),
        usageDueSeconds: seconds.default(60),
        /** Time between a request to stop and the end of the process. */
        stopLimitSeconds: seconds.default(30),
        /** How long a host that has lost the duties must not take them again. */
        leadPauseMs: z.number().positive().default(3_000),
        /** Time within which a host has to know of an endpoint that leaves, and of a new configuration. */
        endpointLeaveMs: z.number().positive().default(2_000),
        configurationApplyMs: z.number().positive().default(2_000),
        /** How long callers may keep the directory's answer. */
        directoryKeepSeconds: seconds.default(2),
    }).prefault({}),
    log: z.object({ level: z.enum(["debug", "info", "warn", "error"]).default("info") }).prefault({}),
});

/** The checked settings of an ingress host. */
export type IngressSettings = z.infer<typeof ingressSettingsSchema>;

/** Parses and checks a settings file. */
export function parseIngressSettings(text: string): Outcome<IngressSettings, SettingsIssue> {
    return checkSettings(text, ingressSettingsSchema);
}
