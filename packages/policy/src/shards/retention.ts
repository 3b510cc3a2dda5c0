import { scheduleTimer } from "./state.js";
import type { OwnerState, Step } from "./state.js";
import type { ShardEntry } from "./value.js";

/** Moves finished keys whose result retention is over to sealed segments; requires the key-value service. */
export function sealFinished(step: Step, owner: OwnerState): void {
    const { state } = step;
    if (owner.mode !== "store" || owner.isSealing || !owner.hasSegments || owner.successor !== undefined) {
        return;
    }
    const keys = expiredEntries(step, owner).map(entry => [entry.key, entry.sinceMs + state.options.keyRetentionMs] as const);
    if (keys.length > 0) {
        owner.isSealing = true;
        step.effects.push({ type: "writeSegment", keys });
    }
}

/** Sealing is delayed by this share of the retention, so that one segment write covers many keys. */
const sealDelayRatio = 0.1;
/** A value above the size limit is reduced to this share of it. */
const shrinkRatio = 0.8;

function expiredEntries(step: Step, owner: OwnerState): ShardEntry[] {
    const { resultRetentionMs, resultBytesLimit } = step.state.options;
    const finished = [...owner.entries.values()].filter(entry => entry.state === "done" && entry.revision <= owner.storedSequence)
        .sort((left, right) => left.sinceMs - right.sinceMs);
    const bytes = finished.reduce((sum, entry) => sum + sizeOf(entry), 0);
    const oldest = finished[0];
    const dueMs = (oldest?.sinceMs ?? 0) + resultRetentionMs * (1 + sealDelayRatio);
    if (oldest === undefined || (bytes <= resultBytesLimit && dueMs > step.state.nowMs)) {
        wakeForOldest(step, oldest, dueMs);
        return [];
    }
    let excessBytes = bytes > resultBytesLimit ? bytes - resultBytesLimit * shrinkRatio : 0;
    return finished.filter(entry => {
        const isDropped = excessBytes > 0 || entry.sinceMs + resultRetentionMs <= step.state.nowMs;
        excessBytes -= isDropped ? sizeOf(entry) : 0;
        return isDropped;
    });
}

function wakeForOldest(step: Step, oldest: ShardEntry | undefined, dueMs: number): void {
    if (oldest !== undefined) {
        scheduleTimer(step, Math.ceil(dueMs));
    }
}

/** Estimated bytes for the key, names, intent and JSON syntax of an entry. */
const entryOverheadBytes = 400;

function sizeOf(entry: ShardEntry): number {
    const headers = Object.entries(entry.result?.headers ?? {}).reduce(
        (sum, [name, value]) => sum + name.length + value.length + 6,
        0,
    );
    return entryOverheadBytes + headers + (entry.result?.body.length ?? 0);
}

/** Removes entries once the segment that contains them is written. */
export function handleSegmentWritten(step: Step, owner: OwnerState, keys: readonly string[], ok: boolean): void {
    const { state } = step;
    owner.isSealing = false;
    if (!ok) {
        scheduleTimer(step, state.nowMs + state.options.retryMs);
        return;
    }
    owner.sealed = new Map(owner.sealed);
    for (const key of keys) {
        const entry = owner.entries.get(key);
        if (entry?.state === "done") {
            owner.sealed.set(key, entry.sinceMs + state.options.keyRetentionMs);
            owner.entries.delete(key);
        }
    }
    owner.sequence += 1;
    owner.dirtySinceMs ??= state.nowMs;
}

/** Adds the unexpired keys read from the segments; without them the owner can't tell whether a key is new. */
export function handleSegments(step: Step, owner: OwnerState, keys: readonly (readonly [string, number])[] | undefined): void {
    owner.isReadingSegments = false;
    if (keys === undefined) {
        owner.nextReadAtMs = step.state.nowMs + step.state.options.retryMs;
        scheduleTimer(step, owner.nextReadAtMs);
        return;
    }
    owner.sealed = new Map([...keys.filter(([, untilMs]) => untilMs > step.state.nowMs), ...owner.sealed]);
    owner.hasSegments = true;
}

/** Requests the segments, which a new owner needs before it serves. */
export function loadSegments(step: Step, owner: OwnerState): void {
    if (!owner.hasSegments && !owner.isReadingSegments && owner.nextReadAtMs <= step.state.nowMs) {
        owner.isReadingSegments = true;
        step.effects.push({ type: "readSegments" });
    }
}
