import type { DemandMeter, LoadBoard, QuotaUse, UsageLedger, UsageQuota } from "@filbertrelay/policy/ingress";
import { z } from "zod";

const countsSchema = z.record(z.string(), z.number());

const sharedUseSchema = z.object({
    quotaUse: z.object({
        /** Time within growing parts of the quota's window that was not counted, in milliseconds. */
        missingMs: z.array(z.number()),
        /** Use within growing parts of the quota's window. */
        customers: z.record(z.string(), z.array(z.number())),
    }),
    /** Busy endpoints by service. */
    demand: countsSchema,
    endpointUse: z.record(z.string(), z.object({ running: z.number(), waitingTokens: countsSchema })),
});

const storeKnowledgeSchema = z.object({
    /** Revision of the store up to which the sender knows all changes. */
    revision: z.number(),
    /** Revision of the last of these that was more than a heartbeat. */
    materialRevision: z.number(),
    /** Time since the store had nothing newer; absent before the first read. */
    storeAgeMs: z.number().optional(),
});

/** What a host says of itself. */
export const hostReportSchema = z.object({
    incarnation: z.string(),
    /** The sender's wall-clock time, in milliseconds since 1970. */
    sentAtMs: z.number(),
    knowledge: storeKnowledgeSchema,
    use: sharedUseSchema,
    /** Requests that began to run, by number of the window and customer. */
    windowCounts: z.record(z.string(), countsSchema),
});

/** What a host says of its group. */
export const groupReportSchema = z.object({
    groups: z.number(),
    group: z.number(),
    /** Time since each host of the group was heard, in milliseconds. */
    members: countsSchema,
    knowledge: storeKnowledgeSchema,
    use: sharedUseSchema,
});

/** A host's report. */
export type HostReport = z.infer<typeof hostReportSchema>;
/** A group's report. */
export type GroupReport = z.infer<typeof groupReportSchema>;
/** What a sender knows of the store. */
export type StoreKnowledge = z.infer<typeof storeKnowledgeSchema>;
type SharedUse = z.infer<typeof sharedUseSchema>;

/** What the hosts of a fleet count together. */
export interface SharedCounts {
    readonly quota: UsageQuota;
    readonly usage: UsageLedger;
    readonly loads: LoadBoard;
    readonly demand: DemandMeter;
}

/** The use of this host alone. */
export function describeOwnUse({ quota, loads, demand }: SharedCounts, nowMs: number): SharedUse {
    return {
        quotaUse: copyQuotaUse(quota.ownUse(nowMs)),
        demand: { ...demand.ownDemand(nowMs) },
        endpointUse: copyEndpointUse(loads.ownUse()),
    };
}

/** The use of this host and its peers. */
export function describeGroupUse({ quota, loads, demand }: SharedCounts, nowMs: number): SharedUse {
    return {
        quotaUse: copyQuotaUse(quota.groupUse(nowMs)),
        demand: { ...demand.groupDemand(nowMs) },
        endpointUse: copyEndpointUse(loads.groupUse(nowMs)),
    };
}

/** The counts of the usage windows that are still open. */
export function describeWindowCounts({ usage }: SharedCounts): HostReport["windowCounts"] {
    return Object.fromEntries(Object.entries(usage.ownCounts()).map(([window, customers]) => [window, { ...customers }]));
}

function copyQuotaUse({ missingMs, customers }: QuotaUse): SharedUse["quotaUse"] {
    // Whole numbers are a third as long as fractions on the wire.
    return {
        missingMs: missingMs.map(Math.round),
        customers: Object.fromEntries(Object.entries(customers).map(([name, use]) => [name, use.map(Math.round)])),
    };
}

function copyEndpointUse(use: ReturnType<LoadBoard["ownUse"]>): SharedUse["endpointUse"] {
    return Object.fromEntries(
        Object.entries(use).map(([endpoint, entry]) => [
            endpoint,
            {
                running: entry.running,
                waitingTokens: Object.fromEntries(
                    Object.entries(entry.waitingTokens).map(([level, tokens]) => [level, Math.round(tokens)]),
                ),
            },
        ]),
    );
}
