import type { Issue, Outcome } from "@filbertrelay/kernel";
import { failure, success } from "@filbertrelay/kernel";
import { parse } from "smol-toml";
import { z } from "zod";

const hostAndPort = z.string().regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    "Expected an IPv4 address and a port, such as '10.0.0.5:7700'.",
);
const url = z.url({ protocol: /^https?$/ });

/** The daemon's settings file, in TOML. */
export const settingsSchema = z.strictObject({
    host: z.strictObject({
        id: z.string().regex(/^[a-z0-9-]{1,40}$/, "Expected 1 to 40 lower-case letters, digits or hyphens."),
        failureDomain: z.string().min(1),
        peerAddress: hostAndPort,
        callerAddress: hostAndPort,
        /** Addresses that others use, where they differ from those that the daemon listens on. */
        advertisedPeerAddress: hostAndPort.optional(),
        advertisedCallerAddress: hostAndPort.optional(),
    }),
    cluster: z.strictObject({
        /** Secret that peers prove to each other; the first of several is used to connect, all are accepted. */
        keys: z.array(z.string().min(16)).min(1),
        /** Peer addresses tried before the host list is read. */
        seeds: z.array(hostAndPort).default([]),
    }),
    platform: z.strictObject({ keyValue: url, cloud: url, hostList: url, weightStore: url }),
    log: z.strictObject({
        format: z.enum(["json", "text"]).default("json"),
        level: z.enum(["debug", "info", "warn", "error"]).default("info"),
    }).prefault({}),
    metrics: z.strictObject({ statsdAddress: hostAndPort.optional() }).prefault({}),
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

/** The daemon's checked settings. */
export type Settings = z.infer<typeof settingsSchema>;

/** Parses and checks a settings file; all faults are given, each with its path. */
export function parseSettings(text: string): Outcome<Settings, Issue & { readonly issues: readonly Issue[]; }> {
    const document = parseToml(text);
    if (!document.ok) {
        return failure({ ...document.issue, issues: [document.issue] });
    }
    const checked = settingsSchema.safeParse(document.value);
    if (checked.success) {
        return success(checked.data);
    }
    const issues = checked.error.issues.map(issue => ({
        code: `settings.${issue.code}`,
        message: issue.message,
        path: issue.path.map(part => typeof part === "symbol" ? String(part) : part),
    }));
    return failure({ code: "settings.invalid", message: `The settings have ${issues.length} faults.`, issues });
}

function parseToml(text: string): Outcome<unknown> {
    try {
        return success(parse(text));
    }
    catch (error) {
        return failure({ code: "settings.syntax", message: error instanceof Error ? error.message : String(error) });
    }
}
