import { wake } from "./state.js";
import type { OwnerState, Step } from "./state.js";
import type { ShardEntry } from "./value.js";

/** Moves finished keys whose result is no longer kept to sealed segments; needs the key-value service. */
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

function expiredEntries(step: Step, owner: OwnerState): ShardEntry[] {
    const { resultRetentionMs, resultBytesLimit } = step.state.options;
    const finished = [...owner.entries.values()].filter(entry => entry.state === "done" && entry.revision <= owner.storedSequence)
        .sort((left, right) => left.sinceMs - right.sinceMs);
    let excessBytes = finished.reduce((sum, entry) => sum + sizeOf(entry), 0) - resultBytesLimit;
    const expired = finished.filter(entry => {
        const isDropped = excessBytes > 0 || entry.sinceMs + resultRetentionMs <= step.state.nowMs;
        excessBytes -= isDropped ? sizeOf(entry) : 0;
        return isDropped;
    });
    const oldest = finished.find(entry => !expired.includes(entry));
    if (oldest !== undefined) {
        wake(step, oldest.sinceMs + resultRetentionMs);
    }
    return expired;
}

function sizeOf(entry: ShardEntry): number {
    return entry.result?.body.length ?? 0;
}

/** Removes entries once the segment that names them is written. */
export function handleSegmentWritten(step: Step, owner: OwnerState, keys: readonly string[], ok: boolean): void {
    const { state } = step;
    owner.isSealing = false;
    if (!ok) {
        wake(step, state.nowMs + state.options.retryMs);
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

/** Takes over the keys read from the segments; without them no key can be known to be new. */
export function handleSegments(step: Step, owner: OwnerState, keys: readonly (readonly [string, number])[] | undefined): void {
    owner.isReadingSegments = false;
    if (keys === undefined) {
        owner.nextReadAtMs = step.state.nowMs + step.state.options.retryMs;
        wake(step, owner.nextReadAtMs);
        return;
    }
    owner.sealed = new Map([...keys.filter(([, untilMs]) => untilMs > step.state.nowMs), ...owner.sealed]);
    owner.hasSegments = true;
}

/** Asks for the segments that a new owner needs, and forgets keys whose retention is over. */
export function loadSegments(step: Step, owner: OwnerState): void {
    if (!owner.hasSegments && !owner.isReadingSegments && owner.nextReadAtMs <= step.state.nowMs) {
        owner.isReadingSegments = true;
        step.effects.push({ type: "readSegments" });
    }
}
