import type { DemandMeter, LoadTracker, QuotaUse, UsageLedger, UsageQuota } from "@filbertrelay/policy/ingress";
import * as z from "zod";
import { suspectReportSchema } from "./suspectreport.js";

const countsSchema = z.record(z.string(), z.number());

const sharedUseSchema = z.object({
    quotaUse: z.object({
        /** Time that was not counted, in milliseconds, for increasing spans of the quota window. */
        missingMs: z.array(z.number()),
        /** Use by customer, for increasing spans of the quota window. */
        customers: z.record(z.string(), z.array(z.number())),
    }),
    /** Demand by service, in busy endpoints. */
    demand: countsSchema,
    endpointUse: z.record(z.string(), z.object({ running: z.number(), waitingTokens: countsSchema })),
    /** Processor time that callers' requests take, in CPU seconds per second. */
    callerWork: countsSchema,
});

const mirrorStatusSchema = z.object({
    /** Era of the store to which the revisions belong. Absent in older versions, which know of no restores. */
    era: z.number().optional(),
    /** Store revision up to which the sender has all changes. */
    revision: z.number(),
    /** No change after this revision, up to `revision`, was more than a heartbeat. */
    materialRevision: z.number(),
    /** The sender can send the changes after this revision; to hosts at earlier ones only all items. Absent in older versions. */
    historyStart: z.number().optional(),
    /** Milliseconds since this was confirmed to be the store's latest revision; absent before the first read. */
    storeAgeMs: z.number().optional(),
    /** Equal on hosts whose items differ from the restored store in the same way; absent without differences. */
    disputes: z.string().optional(),
});

/** By the process of an endpoint, with the milliseconds since it first and last refused a connection. */
const runReportSchema = z.record(z.string(), z.object({ firstAgeMs: z.number(), lastAgeMs: z.number() }));

const limitReportSchema = z.record(z.string(), z.object({ perSecond: z.number().nullable(), ageMs: z.number() }));

/** The windows of endpoints in their slow start, by process; see `EndpointPaces`. */
const paceReportSchema = z.record(
    z.string(),
    z.object({
        window: z.number().positive(),
        capacity: z.number().positive(),
        ageMs: z.number(),
        setbackAgeMs: z.number().optional(),
    }),
);

/** What hosts tell each other while some of them fail to reach endpoints; see `EndpointReach`. Ages in milliseconds. */
const reachReportSchema = z.object({
    suspects: countsSchema.optional(),
    silent: countsSchema.optional(),
    answers: countsSchema.optional(),
    stranded: countsSchema.optional(),
});

/** Statements, cut windows and senders of brittle services; see `RoomReport`. */
const roomReportSchema = z.object({
    endpoints: z.record(
        z.string(),
        z.object({ service: z.string(), rejections: z.number().positive().nullable(), ageMs: z.number() }),
    ),
    cuts: z.record(z.string(), z.object({ share: z.number().positive(), ageMs: z.number() })),
    rejections: z.record(z.string(), z.record(z.string(), z.object({ count: z.number(), ageMs: z.number() }))),
    senders: z.record(z.string(), z.record(z.string(), z.object({ ageMs: z.number(), keepMs: z.number() }))),
});

/** Lets the receiver bound when a report was written. Absent in older versions. */
const messageTimeSchema = z.object({
    /** The sender's run, and its monotonic time in milliseconds. */
    run: z.string(),
    sentMs: z.number(),
    /** The last report that the sender got from the receiver, and the milliseconds since then. */
    echo: z.object({ run: z.string(), sentMs: z.number(), elapsedMs: z.number() }).optional(),
});

/** The report of one host, exchanged within a group. */
export const hostReportSchema = z.object({
    incarnation: z.string(),
    /** The sender's wall-clock time, in milliseconds since 1970. */
    sentAtMs: z.number(),
    time: messageTimeSchema.optional(),
    knowledge: mirrorStatusSchema,
    use: sharedUseSchema,
    /** Requests started, by window number and customer. */
    windowCounts: z.record(z.string(), countsSchema),
    /** Processor time that the sender's serving set is sized for, in CPU seconds per second. */
    servingWork: z.number(),
    /** Hosts that report to the sender, with the milliseconds since each was last heard from. */
    attached: countsSchema,
    /** `windowCounts` of these hosts by host and run, for the duty holder. Absent for others, and in older versions. */
    attachedCounts: z.record(z.string(), z.record(z.string(), countsSchema)).optional(),
    /** Absent if there is nothing to tell, and in older versions. */
    suspects: suspectReportSchema.optional(),
    /** Limits that endpoints named. Absent if there are none, and in older versions. */
    limits: limitReportSchema.optional(),
    /** Endpoints whose entries may describe an earlier run. Absent if there are none, and in older versions. */
    runs: runReportSchema.optional(),
    /** Absent while no endpoint has started recently, and in older versions. */
    paces: paceReportSchema.optional(),
    /** Absent while all hosts reach the endpoints, and in older versions. */
    reach: reachReportSchema.optional(),
    /** Absent while no endpoint is brittle, and in older versions. */
    rooms: roomReportSchema.optional(),
    /** Final counts of usage windows that the store lacks. Absent if there are none, and in older versions. */
    finalCounts: z.record(z.string(), countsSchema).optional(),
});

/** The report that a host sends to a serving host that it is attached to. */
export const attachReportSchema = z.object({
    incarnation: z.string(),
    /** The sender's wall-clock time, in milliseconds since 1970. */
    sentAtMs: z.number(),
    time: messageTimeSchema.optional(),
    knowledge: mirrorStatusSchema,
    /** Whether the sender takes part in the exchange and only asks which hosts are in the serving set. */
    isParticipant: z.boolean(),
    /** Absent if the sender has no recent use. */
    use: sharedUseSchema.optional(),
    windowCounts: z.record(z.string(), countsSchema),
    /** Absent if there is nothing to tell, and in older versions. */
    suspects: suspectReportSchema.optional(),
    /** Limits that endpoints named. Absent if there are none, and in older versions. */
    limits: limitReportSchema.optional(),
    /** Endpoints whose entries may describe an earlier run. Absent if there are none, and in older versions. */
    runs: runReportSchema.optional(),
    /** Absent while no endpoint has started recently, and in older versions. */
    paces: paceReportSchema.optional(),
    /** Absent while all hosts reach the endpoints, and in older versions. */
    reach: reachReportSchema.optional(),
    /** Absent while no endpoint is brittle, and in older versions. */
    rooms: roomReportSchema.optional(),
    /** Final counts of usage windows that the store lacks. Absent if there are none, and in older versions. */
    finalCounts: z.record(z.string(), countsSchema).optional(),
});

/** The reply to an attach report. */
export const attachReplySchema = z.object({
    sentAtMs: z.number(),
    time: messageTimeSchema.optional(),
    knowledge: mirrorStatusSchema,
    /** The serving hosts, with the milliseconds since each was last heard from. */
    serving: countsSchema,
    /** Milliseconds since a serving host chose this set. Keeps an outdated set from circulating between hosts. */
    setAgeMs: z.number(),
    servingWork: z.number(),
    /** Use of all other known hosts; sent only to hosts outside of the exchange. */
    use: sharedUseSchema.optional(),
    /** Hosts that share customer limits, and those of them that the use is of; as `FleetReach`. Absent in older versions. */
    fleetReach: z.object({ knownHosts: z.number(), reachableHosts: z.number() }).optional(),
    /** Median of the clocks of the hosts that the sender hears, in milliseconds since 1970. Absent in older versions. */
    fleetTimeMs: z.number().optional(),
    /** Absent if there is nothing to tell, and in older versions. */
    suspects: suspectReportSchema.optional(),
    /** Limits that endpoints named. Absent if there are none, and in older versions. */
    limits: limitReportSchema.optional(),
    /** Endpoints whose entries may describe an earlier run. Absent if there are none, and in older versions. */
    runs: runReportSchema.optional(),
    /** Absent while no endpoint has started recently, and in older versions. */
    paces: paceReportSchema.optional(),
    /** Absent while all hosts reach the endpoints, and in older versions. */
    reach: reachReportSchema.optional(),
    /** Absent while no endpoint is brittle, and in older versions. */
    rooms: roomReportSchema.optional(),
    /** Final counts of usage windows that the store lacks. Absent if there are none, and in older versions. */
    finalCounts: z.record(z.string(), countsSchema).optional(),
});

/** The report of a group, fetched from its representative. */
export const groupReportSchema = z.object({
    groups: z.number(),
    group: z.number(),
    /** The hosts of the group, with the milliseconds since each was last heard from. */
    members: countsSchema,
    servingWork: z.number(),
    knowledge: mirrorStatusSchema,
    use: sharedUseSchema,
    /** Absent if there is nothing to tell, and in older versions. */
    suspects: suspectReportSchema.optional(),
    /** Limits that endpoints named. Absent if there are none, and in older versions. */
    limits: limitReportSchema.optional(),
    /** Endpoints whose entries may describe an earlier run. Absent if there are none, and in older versions. */
    runs: runReportSchema.optional(),
    /** Absent while no endpoint has started recently, and in older versions. */
    paces: paceReportSchema.optional(),
    /** Absent while all hosts reach the endpoints, and in older versions. */
    reach: reachReportSchema.optional(),
    /** Absent while no endpoint is brittle, and in older versions. */
    rooms: roomReportSchema.optional(),
    /** Final counts of usage windows that the store lacks. Absent if there are none, and in older versions. */
    finalCounts: z.record(z.string(), countsSchema).optional(),
});

export type AttachReport = z.infer<typeof attachReportSchema>;
export type AttachReply = z.infer<typeof attachReplySchema>;
export type HostReport = z.infer<typeof hostReportSchema>;
export type GroupReport = z.infer<typeof groupReportSchema>;
/** How far the sender's copy of the store reaches. */
export type MirrorStatus = z.infer<typeof mirrorStatusSchema>;
/** Quota, endpoint and processor use that hosts report to each other. */
export type SharedUse = z.infer<typeof sharedUseSchema>;

/** Counters that are shared by all hosts of the fleet. */
export interface SharedCounts {
    readonly quota: UsageQuota;
    readonly usage: UsageLedger;
    readonly loads: LoadTracker;
    readonly demand: DemandMeter;
    /** Processor time that callers' requests take, recorded under `callersKey`. */
    readonly callerWork: DemandMeter;
}

/** The only key of `SharedCounts.callerWork`. */
export const callersKey = "callers";

/** Returns the use of this host; that of customers' limits includes hosts that are attached to it. */
export function describeOwnUse(
    { quota, loads, demand, callerWork }: SharedCounts,
    nowMs: number,
    attached: readonly string[] = [],
): SharedUse {
    return {
        quotaUse: copyQuotaUse(quota.ownUse(nowMs, attached)),
        demand: { ...demand.ownDemand(nowMs) },
        endpointUse: copyEndpointUse(loads.ownUse()),
        callerWork: { ...callerWork.ownDemand(nowMs) },
    };
}

/** Returns the use of this host and its group. */
export function describeGroupUse({ quota, loads, demand, callerWork }: SharedCounts, nowMs: number): SharedUse {
    return {
        quotaUse: copyQuotaUse(quota.groupUse(nowMs)),
        demand: { ...demand.groupDemand(nowMs) },
        endpointUse: copyEndpointUse(loads.groupUse(nowMs)),
        callerWork: { ...callerWork.groupDemand(nowMs) },
    };
}

/** Whether a report contains quota use, endpoint use or caller work. */
export function hasRecentUse({ quotaUse, endpointUse, callerWork }: SharedUse): boolean {
    return Object.keys(quotaUse.customers).length > 0 || Object.keys(endpointUse).length > 0 || (callerWork[callersKey] ?? 0) > 0;
}

/** Records the use of one host. */
export function recordPeerUse(counts: SharedCounts, peer: string, use: SharedUse, nowMs: number): void {
    counts.quota.recordPeerUse(peer, use.quotaUse, nowMs);
    counts.demand.recordPeerDemand(peer, use.demand, nowMs);
    counts.callerWork.recordPeerDemand(peer, use.callerWork, nowMs);
    counts.loads.recordPeerUse(peer, use.endpointUse, nowMs);
}

/** Records the use of a group of hosts. */
export function recordGroupUse(counts: SharedCounts, group: string, use: SharedUse, nowMs: number): void {
    counts.quota.recordGroupUse(group, use.quotaUse, nowMs);
    counts.demand.recordGroupDemand(group, use.demand, nowMs);
    counts.callerWork.recordGroupDemand(group, use.callerWork, nowMs);
    counts.loads.recordGroupUse(group, use.endpointUse, nowMs);
}

/** Drops the recorded use of peers and groups that other reports include now. */
export function dropUseWhere(counts: SharedCounts, isOutdated: (name: string) => boolean): void {
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

/** Subtracts the use of one host from a sum. */
export function subtractUse(sum: SharedUse, part: SharedUse): SharedUse {
    const subtractCounts = (counts: Readonly<Record<string, number>>, from: Readonly<Record<string, number>>) =>
        Object.fromEntries(Object.entries(counts).map(([name, amount]) => [name, Math.max(0, amount - (from[name] ?? 0))]));
    const { quotaUse, endpointUse } = part;
    return {
        quotaUse: {
            missingMs: sum.quotaUse.missingMs.map((ms, span) => Math.max(0, ms - (quotaUse.missingMs[span] ?? 0))),
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

/** Returns this host's counts for the usage windows that are still open. */
export function describeWindowCounts({ usage }: SharedCounts): HostReport["windowCounts"] {
    return Object.fromEntries(Object.entries(usage.ownCounts()).map(([window, customers]) => [window, { ...customers }]));
}

function copyQuotaUse({ missingMs, customers }: QuotaUse): SharedUse["quotaUse"] {
    // Rounded numbers take a third of the bytes of fractions on the wire.
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
