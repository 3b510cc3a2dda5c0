import type { DemandMeter, LoadTracker, QuotaUse, UsageLedger, UsageQuota } from "@filbertrelay/policy/ingress";
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
    /** Processor time that callers' requests take, in seconds a second. */
    callerWork: countsSchema,
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
    /** Processor time that the sender's serving set is made for, in seconds a second. */
    servingWork: z.number(),
    /** Hosts outside of the serving set that report to the sender, with the time since each was heard, in milliseconds. */
    attached: countsSchema,
});

/** What a host outside of the serving set tells one that serves. */
export const attachReportSchema = z.object({
    incarnation: z.string(),
    /** The sender's wall-clock time, in milliseconds since 1970. */
    sentAtMs: z.number(),
    knowledge: storeKnowledgeSchema,
    /** Whether the sender exchanges its use with all that serve, and asks only whether it is counted in. */
    isParticipant: z.boolean(),
    /** Absent while the sender has let nothing through lately. */
    use: sharedUseSchema.optional(),
    windowCounts: z.record(z.string(), countsSchema),
});

/** What it is answered. */
export const attachReplySchema = z.object({
    sentAtMs: z.number(),
    knowledge: storeKnowledgeSchema,
    /** The hosts that serve, with the time since each was heard, in milliseconds. */
    serving: countsSchema,
    /** Time since a host that serves chose this set, in milliseconds; older sets must not be told in a circle. */
    setAgeMs: z.number(),
    servingWork: z.number(),
    /** Use of all hosts that the sender knows of, for an asker outside of the exchange. */
    use: sharedUseSchema.optional(),
});

/** What a host says of its group. */
export const groupReportSchema = z.object({
    groups: z.number(),
    group: z.number(),
    /** Time since each host of the group was heard, in milliseconds. */
    members: countsSchema,
    servingWork: z.number(),
    knowledge: storeKnowledgeSchema,
    use: sharedUseSchema,
});

/** A report of a host outside of the serving set. */
export type AttachReport = z.infer<typeof attachReportSchema>;
/** The answer to one. */
export type AttachReply = z.infer<typeof attachReplySchema>;
/** A host's report. */
export type HostReport = z.infer<typeof hostReportSchema>;
/** A group's report. */
export type GroupReport = z.infer<typeof groupReportSchema>;
/** What a sender knows of the store. */
export type StoreKnowledge = z.infer<typeof storeKnowledgeSchema>;
/** Use that counts over all hosts. */
export type SharedUse = z.infer<typeof sharedUseSchema>;

/** What the hosts of a fleet count together. */
export interface SharedCounts {
    readonly quota: UsageQuota;
    readonly usage: UsageLedger;
    readonly loads: LoadTracker;
    readonly demand: DemandMeter;
    /** Processor time that callers' requests take, under `callersKey`. */
    readonly callerWork: DemandMeter;
}

/** The one kind of work that `SharedCounts.callerWork` counts. */
export const callersKey = "callers";

/** The use of this host alone. */
export function describeOwnUse({ quota, loads, demand, callerWork }: SharedCounts, nowMs: number): SharedUse {
    return {
        quotaUse: copyQuotaUse(quota.ownUse(nowMs)),
        demand: { ...demand.ownDemand(nowMs) },
        endpointUse: copyEndpointUse(loads.ownUse()),
        callerWork: { ...callerWork.ownDemand(nowMs) },
    };
}

/** The use of this host and its peers. */
export function describeGroupUse({ quota, loads, demand, callerWork }: SharedCounts, nowMs: number): SharedUse {
    return {
        quotaUse: copyQuotaUse(quota.groupUse(nowMs)),
        demand: { ...demand.groupDemand(nowMs) },
        endpointUse: copyEndpointUse(loads.groupUse(nowMs)),
        callerWork: { ...callerWork.groupDemand(nowMs) },
    };
}

/** Whether a host let anything through lately. */
export function isUsed({ quotaUse, endpointUse, callerWork }: SharedUse): boolean {
    return Object.keys(quotaUse.customers).length > 0 || Object.keys(endpointUse).length > 0 || (callerWork[callersKey] ?? 0) > 0;
}

/** Notes the use of one host. */
export function recordPeerUse(counts: SharedCounts, peer: string, use: SharedUse, nowMs: number): void {
    counts.quota.recordPeerUse(peer, use.quotaUse, nowMs);
    counts.demand.recordPeerDemand(peer, use.demand, nowMs);
    counts.callerWork.recordPeerDemand(peer, use.callerWork, nowMs);
    counts.loads.recordPeerUse(peer, use.endpointUse, nowMs);
}

/** Notes the use of a group of hosts. */
export function recordGroupUse(counts: SharedCounts, group: string, use: SharedUse, nowMs: number): void {
    counts.quota.recordGroupUse(group, use.quotaUse, nowMs);
    counts.demand.recordGroupDemand(group, use.demand, nowMs);
    counts.callerWork.recordGroupDemand(group, use.callerWork, nowMs);
    counts.loads.recordGroupUse(group, use.endpointUse, nowMs);
}

/** Forgets the use of peers and groups that is part of other reports now. */
export function forgetUseWhere(counts: SharedCounts, isOutdated: (name: string) => boolean): void {
    [counts.quota, counts.demand, counts.callerWork, counts.loads].forEach(part => part.forgetWhere(isOutdated));
}

/** Adds up the use of several hosts. */
export function addUses(uses: readonly SharedUse[]): SharedUse {
    const sum: SharedUse = { quotaUse: { missingMs: [], customers: {} }, demand: {}, endpointUse: {}, callerWork: {} };
    for (const { quotaUse, demand, endpointUse, callerWork } of uses) {
        addNumbers(sum.quotaUse.missingMs, quotaUse.missingMs);
        for (const [name, parts] of Object.entries(quotaUse.customers)) {
            addNumbers(sum.quotaUse.customers[name] ??= [], parts);
        }
        addCounts(sum.demand, demand);
        addCounts(sum.callerWork, callerWork);
        for (const [endpoint, { running, waitingTokens }] of Object.entries(endpointUse)) {
            const entry = sum.endpointUse[endpoint] ??= { running: 0, waitingTokens: {} };
            entry.running += running;
            addCounts(entry.waitingTokens, waitingTokens);
        }
    }
    return sum;
}

/** Takes the use of one host out of a sum. */
export function subtractUse(sum: SharedUse, part: SharedUse): SharedUse {
    const subtractCounts = (counts: Readonly<Record<string, number>>, from: Readonly<Record<string, number>>) =>
        Object.fromEntries(Object.entries(counts).map(([name, amount]) => [name, Math.max(0, amount - (from[name] ?? 0))]));
    const { quotaUse, endpointUse } = part;
    return {
        quotaUse: {
            missingMs: sum.quotaUse.missingMs,
            customers: Object.fromEntries(
                Object.entries(sum.quotaUse.customers).map(([name, parts]) => [
                    name,
                    parts.map((amount, index) => Math.max(0, amount - (quotaUse.customers[name]?.[index] ?? 0))),
                ]),
            ),
        },
        demand: subtractCounts(sum.demand, part.demand),
        callerWork: subtractCounts(sum.callerWork, part.callerWork),
        endpointUse: Object.fromEntries(
            Object.entries(sum.endpointUse).map(([endpoint, { running, waitingTokens }]) => [endpoint, {
                running: Math.max(0, running - (endpointUse[endpoint]?.running ?? 0)),
                waitingTokens: subtractCounts(waitingTokens, endpointUse[endpoint]?.waitingTokens ?? {}),
            }]),
        ),
    };
}

function addNumbers(sum: number[], added: readonly number[]): void {
    added.forEach((amount, index) => sum[index] = (sum[index] ?? 0) + amount);
}

function addCounts(sum: Record<string, number>, added: Readonly<Record<string, number>>): void {
    for (const [name, amount] of Object.entries(added)) {
        sum[name] = (sum[name] ?? 0) + amount;
    }
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

function copyEndpointUse(use: ReturnType<LoadTracker["ownUse"]>): SharedUse["endpointUse"] {
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
