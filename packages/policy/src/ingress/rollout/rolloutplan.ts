import type { RolloutOrder } from "./rolloutorder.js";
import { addTallies, emptyRouteTally } from "./routetally.js";
import type { VersionTally } from "./routetally.js";
import { compareVersions } from "./versioncomparison.js";
import type { VersionComparison } from "./versioncomparison.js";

/** `sampling`: few requests; `loading`: a few endpoints get more than their part; `moving`: proven, the rest follows. */
export type RolloutPhase = "sampling" | "loading" | "moving";

/** The state of a roll-out, as it lies in the store. */
export interface RolloutRecord extends RolloutOrder {
    /** Names the order: the era and the revision of the store at which it was written. */
    readonly orderEra: number;
    readonly orderRevision: number;
    readonly startedAtMs: number;
    /** Versions that served before the order; their endpoints stop when the roll-out is completed. */
    readonly formerVersions: readonly string[];
    /** Targets of earlier roll-outs that were not completed; they get no new requests. */
    readonly barredVersions: readonly string[];
    /** Grows with each write. */
    readonly step: number;
    readonly state: "inProgress" | "completed" | "reverted";
    /** Why it ended. */
    readonly reason?: string | undefined;
    /** The field of a refused order. */
    readonly field?: string | undefined;
    /** The version was found to be worse than the former ones. */
    readonly isWorse?: boolean | undefined;
    readonly phase: RolloutPhase;
    readonly phaseSinceMs: number;
    /** Share of new requests that may go to the target. */
    readonly share: number;
    /** The target's endpoints that take requests; all of them while `moving`. */
    readonly endpoints: readonly string[];
    /** Answers of the target by route when the phase began. */
    readonly answersBefore: Readonly<Record<string, number>>;
}

/** What the duty holder sees. */
export interface RolloutObservation {
    readonly nowMs: number;
    /** Results since the order, over all hosts. */
    readonly base: VersionTally;
    readonly target: VersionTally;
    /** Results of the last seconds, in which a fault that has just begun shows sooner. */
    readonly recent?: { readonly base: VersionTally; readonly target: VersionTally; };
    /** Usable endpoints of the target. */
    readonly targetEndpoints: readonly string[];
    /** Number of usable endpoints of the other versions. */
    readonly baseEndpoints: number;
    /** Number of endpoints that the load needs. */
    readonly requiredEndpoints: number;
}

/** Share of the permitted exposure that each phase uses. */
const phaseShares = { sampling: 0.6, loading: 0.95 } as const;
/** Load of the target's chosen endpoints relative to that of the others. */
const phaseLoads = { sampling: 0.6, loading: 1.3 } as const;
/** Answers on each route before the load is raised, and under the raised load before the target counts as proven. */
const phaseAnswers = { sampling: 8, loading: 12 } as const;
/** Time left when a roll-out ends as planned; covers the replacement of a holder that is killed just before. */
const marginShare = 0.2;
const marginMs = { least: 2_000, most: 6_000 };
/** Share of that time in which an unproven version may still become proven. */
const lateShare = 0.5;
/** How long new requests go to the target alone before the others are stopped, so that few running requests are cut. */
const movingShare = 0.1;
const movingMs = { least: 1_000, most: 3_000 };

/** The first state of a roll-out. */
export function beginRollout(
    order: RolloutOrder,
    { nowMs, era, revision, formerVersions, barredVersions }: {
        readonly nowMs: number;
        readonly era: number;
        readonly revision: number;
        readonly formerVersions: readonly string[];
        readonly barredVersions: readonly string[];
    },
): RolloutRecord {
    return {
        ...order,
        orderEra: era,
        orderRevision: revision,
        startedAtMs: nowMs,
        formerVersions,
        barredVersions,
        step: 1,
        state: "inProgress",
        phase: "sampling",
        phaseSinceMs: nowMs,
        share: 0,
        endpoints: [],
        answersBefore: {},
    };
}

/** Ends a roll-out. */
export function endRollout(
    record: RolloutRecord,
    end: Pick<RolloutRecord, "state" | "reason" | "field" | "isWorse">,
): RolloutRecord {
    return { ...record, ...end, step: record.step + 1, share: end.state === "completed" ? 1 : 0, endpoints: [] };
}

/** Decides the next step of a roll-out. Depends on its arguments alone, so that any holder can go on from the record. */
export function planRollout(record: RolloutRecord, seen: RolloutObservation, exposureRatio: number): RolloutRecord {
    if (record.state !== "inProgress") {
        return record;
    }
    const times = planTimes(record);
    const comparison = compare(seen);
    if (comparison.type === "worse") {
        return endRollout(record, { state: "reverted", reason: comparison.reason, isWorse: true });
    }
    const missing = describeMissing(record, seen, comparison);
    if (record.phase === "moving" && missing === undefined) {
        const isMoved = seen.nowMs >= record.phaseSinceMs + times.movingMs;
        return isMoved ? endRollout(record, { state: "completed" }) : { ...record, step: record.step + 1 };
    }
    if (seen.nowMs >= times.lastMs) {
        return endRollout(record, { state: "reverted", reason: `not proven in time: ${missing ?? "no time to move requests"}` });
    }
    if (missing === undefined && seen.nowMs >= times.moveMs && seen.nowMs + times.movingMs <= times.limitMs) {
        return enter(record, "moving", seen, exposureRatio);
    }
    const isSampled = record.phase === "sampling" && findUnsampled(record, seen, phaseAnswers.sampling).length === 0;
    const phase = record.phase === "moving" || isSampled ? "loading" : record.phase;
    return enter(record, phase, seen, exposureRatio);
}

function planTimes({ startedAtMs, durationMs }: RolloutRecord): {
    readonly moveMs: number;
    readonly lastMs: number;
    readonly limitMs: number;
    readonly movingMs: number;
} {
    const limitMs = startedAtMs + durationMs;
    const margin = clamp(durationMs * marginShare, marginMs);
    const moving = clamp(durationMs * movingShare, movingMs);
    return { limitMs, movingMs: moving, moveMs: limitMs - margin - moving, lastMs: limitMs - margin * lateShare };
}

function compare({ base, target, recent }: RolloutObservation): VersionComparison {
    const whole = compareVersions(base, target);
    const last = recent === undefined ? undefined : compareVersions(recent.base, recent.target);
    return last?.type === "worse" ? last : whole;
}

/** What is missing before the target may take all requests; `undefined` if nothing is. */
function describeMissing(record: RolloutRecord, seen: RolloutObservation, comparison: VersionComparison): string | undefined {
    const { targetEndpoints, requiredEndpoints } = seen;
    if (targetEndpoints.length < Math.max(1, requiredEndpoints)) {
        return `${targetEndpoints.length} of ${Math.max(1, requiredEndpoints)} endpoints serve`;
    }
    if (comparison.type === "unproven") {
        return `too few answers on ${comparison.missingRoutes.join(", ") || "all routes"}`;
    }
    const unloaded = record.phase === "sampling" ? ["all routes"] : findUnsampled(record, seen, phaseAnswers.loading);
    return record.phase === "moving" || unloaded.length === 0 ?
        undefined :
        `too few answers under load on ${unloaded.join(", ")}`;
}

/** Routes on which the target has given fewer answers since the phase began. */
function findUnsampled(
    { answersBefore }: RolloutRecord,
    { base, target }: RolloutObservation,
    answers: number,
): readonly string[] {
    const routes = Object.keys(addTallies([base, target]));
    const unsampled = routes.filter(route =>
        (base[route] ?? emptyRouteTally).answers >= answers &&
        (target[route] ?? emptyRouteTally).answers - (answersBefore[route] ?? 0) < answers
    );
    return routes.length === 0 ? ["all routes"] : unsampled;
}

function enter(
    record: RolloutRecord,
    phase: RolloutPhase,
    { nowMs, target, targetEndpoints, baseEndpoints }: RolloutObservation,
    exposureRatio: number,
): RolloutRecord {
    const share = phase === "moving" ? 1 : exposureRatio * phaseShares[phase];
    const wanted = phase === "moving" ? Infinity : Math.max(1, Math.floor(share * baseEndpoints / phaseLoads[phase]));
    const kept = record.endpoints.filter(endpoint => targetEndpoints.includes(endpoint));
    const endpoints = [...kept, ...[...targetEndpoints].sort().filter(endpoint => !kept.includes(endpoint))].slice(0, wanted);
    const isEntered = phase !== record.phase;
    const answers = Object.fromEntries(Object.entries(target).map(([route, tally]) => [route, tally.answers]));
    return {
        ...record,
        phase,
        share,
        endpoints: phase === "moving" ? [] : endpoints,
        step: record.step + 1,
        phaseSinceMs: isEntered ? nowMs : record.phaseSinceMs,
        answersBefore: isEntered ? answers : record.answersBefore,
    };
}

function clamp(value: number, { least, most }: { readonly least: number; readonly most: number; }): number {
    return Math.min(most, Math.max(least, value));
}
