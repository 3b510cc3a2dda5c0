import { checkSettings, hostAndPortSchema } from "@filbertrelay/configuration";
import type { SettingsIssue } from "@filbertrelay/configuration";
import type { Outcome } from "@filbertrelay/kernel";
import * as z from "zod";

const url = z.url({ protocol: /^https?$/ });

/** The daemon's settings file, in TOML. */
export const settingsSchema = z.strictObject({
    host: z.strictObject({
        id: z.string().regex(/^[a-z0-9-]{1,40}$/, "Expected 1 to 40 lower-case letters, digits or hyphens."),
        failureDomain: z.string().min(1),
        peerAddress: hostAndPortSchema,
        callerAddress: hostAndPortSchema,
        /** Addresses that peers and callers connect to, if they differ from those that the daemon listens on. */
        advertisedPeerAddress: hostAndPortSchema.optional(),
        advertisedCallerAddress: hostAndPortSchema.optional(),
    }),
    cluster: z.strictObject({
        /** Shared secrets that authenticate peers; the first one is used to connect, all are accepted. */
        keys: z.array(z.string().min(16)).min(1),
        /** Peer addresses to join through before the host list has been read. */
        seeds: z.array(hostAndPortSchema).default([]),
    }),
    platform: z.strictObject({ keyValue: url, cloud: url, hostList: url, weightStore: url }),
    log: z.strictObject({
        format: z.enum(["json", "text"]).default("json"),
        level: z.enum(["debug", "info", "warn", "error"]).default("info"),
    }).prefault({}),
    metrics: z.strictObject({ statsdAddress: hostAndPortSchema.optional() }).prefault({}),
    traces: z.strictObject({ otlpUrl: url.optional() }).prefault({}),
    limits: z.strictObject({
        headerBytes: z.int().positive().default(16_384),
        bodyBytes: z.int().positive().default(4_194_304),
        frameBytes: z.int().positive().default(8_388_608),
    }).prefault({}),
    timing: z.strictObject({
        probePeriodMs: z.int().min(20).default(500),
        stallTimeoutMs: z.int().min(50).default(2_000),
        drainLimitMs: z.int().positive().default(30_000),
    }).prefault({}),
});

/** The daemon's validated settings. */
export type Settings = z.infer<typeof settingsSchema>;

/** Parses and validates a settings file; reports every issue with its path. */
export function parseSettings(text: string): Outcome<Settings, SettingsIssue> {
    return checkSettings(text, settingsSchema);
}
