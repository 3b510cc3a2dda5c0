import { checkRolloutOrder } from "./rolloutorder.js";
import type { RolloutCircumstances, RolloutOrder } from "./rolloutorder.js";
import { beginRollout, endRollout, planRollout } from "./rolloutplan.js";
import type { RolloutObservation, RolloutRecord } from "./rolloutplan.js";

/** An order as it lies in the store. */
export interface StoredOrder extends RolloutOrder {
    readonly era: number;
    readonly revision: number;
}

/** Input of `decideRolloutStep`. */
export interface RolloutStepInput {
    readonly record: RolloutRecord | undefined;
    /** Absent when the order was removed. */
    readonly order: StoredOrder | undefined;
    readonly circumstances: RolloutCircumstances;
    readonly seen: RolloutObservation;
    readonly exposureRatio: number;
}

/** Decides the record that follows; the same one if nothing is to be written. */
export function decideRolloutStep(input: RolloutStepInput): RolloutRecord | undefined {
    const { record, order, circumstances, seen, exposureRatio } = input;
    if (order === undefined) {
        return record?.state === "inProgress" ?
            endRollout(record, { state: "reverted", reason: "the order was removed" }) :
            record;
    }
    if (record !== undefined && isRolloutOf(record, order, seen.nowMs)) {
        return planRollout(record, seen, exposureRatio);
    }
    if (record?.state === "inProgress") {
        return endRollout(record, { state: "reverted", reason: "a later order replaces it" });
    }
    const { era, revision, ...content } = order;
    const barredVersions = listBarred(record).filter(version => version !== order.target);
    const formerVersions = [...circumstances.runningVersions].filter(version => !listBarred(record).includes(version));
    const first = beginRollout(content, { nowMs: seen.nowMs, era, revision, formerVersions, barredVersions });
    const issue = checkRolloutOrder(content, { ...circumstances, runningVersions: new Set(formerVersions) });
    return issue === undefined ? first : { ...first, state: "reverted", reason: issue.message, field: issue.field };
}

/** The versions that an earlier roll-out has left unproven; their endpoints may still be leaving. */
function listBarred(record: RolloutRecord | undefined): readonly string[] {
    const isTargetBarred = record?.state === "reverted" && record.field === undefined;
    return record === undefined ? [] : [...record.barredVersions, ...(isTargetBarred ? [record.target] : [])];
}

/**
 * Whether a record belongs to an order. After a restore of the store the operator may have written a lost order again, at another
 * revision.
 */
export function isRolloutOf(record: RolloutRecord, order: StoredOrder, nowMs: number): boolean {
    const isEqual = record.target === order.target && record.durationMs === order.durationMs;
    const isRewritten = order.era > record.orderEra && nowMs < record.startedAtMs + record.durationMs;
    return isEqual && (record.orderRevision === order.revision || isRewritten);
}
