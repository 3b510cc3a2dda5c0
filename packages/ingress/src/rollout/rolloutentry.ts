import { parseJson } from "@filbertrelay/kernel";
import type { HostTally, RolloutRecord } from "@filbertrelay/policy/ingress";
import * as z from "zod";
import { ownPrefix } from "../fleet/hosts.js";

/** Prefix of the keys that hold the records of roll-outs, by service. */
export const recordPrefix = `${ownPrefix}rollout/`;
/** Prefix of the keys under which hosts tell their results, by service, host and run. */
export const tallyPrefix = `${ownPrefix}rollout-tally/`;

const countsSchema = z.record(z.string(), z.number());

const recordSchema = z.object({
    service: z.string(),
    target: z.string(),
    durationMs: z.number(),
    orderEra: z.number(),
    orderRevision: z.number(),
    startedAtMs: z.number(),
    formerVersions: z.array(z.string()),
    barredVersions: z.array(z.string()),
    step: z.number(),
    state: z.enum(["inProgress", "completed", "reverted"]),
    reason: z.string().optional(),
    field: z.string().optional(),
    isWorse: z.boolean().optional(),
    phase: z.enum(["sampling", "loading", "moving"]),
    phaseSinceMs: z.number(),
    share: z.number(),
    endpoints: z.array(z.string()),
    answersBefore: countsSchema,
    /** The writer's time of the fleet, in Unix milliseconds. */
    writtenAtMs: z.number(),
});

const versionTallySchema = z.record(
    z.string(),
    z.object({
        answers: z.number(),
        failures: z.number(),
        lost: z.number(),
        lostEndpoints: z.array(z.string()),
        durations: countsSchema,
    }),
);

const tallySchema = z.object({
    orderEra: z.number(),
    orderRevision: z.number(),
    base: versionTallySchema,
    target: versionTallySchema,
    requests: z.number(),
    exposed: z.number(),
});

/** A record with the time at which it was written. */
export type StoredRecord = RolloutRecord & { readonly writtenAtMs: number; };

/** Reads a record; `undefined` if the value holds none. */
export function readRecord(value: string | undefined): StoredRecord | undefined {
    return recordSchema.safeParse(parseJson(value ?? "")).data;
}

/** Writes a record. */
export function renderRecord(record: RolloutRecord, writtenAtMs: number): string {
    return JSON.stringify({ ...record, writtenAtMs });
}

/** Reads the results of one host for the order of a record; `undefined` if the value holds none or those of another order. */
export function readTally(value: string, { orderEra, orderRevision }: RolloutRecord): HostTally | undefined {
    const tally = tallySchema.safeParse(parseJson(value)).data;
    return tally?.orderEra === orderEra && tally.orderRevision === orderRevision ? tally : undefined;
}

/** Writes the results of one host for the order of a record. */
export function renderTally(tally: HostTally, { orderEra, orderRevision }: RolloutRecord): string {
    return JSON.stringify({ ...tally, orderEra, orderRevision });
}
