import { respondToWaiters } from "./entry.js";
import type { SubmitResult } from "./message.js";
import { isRuleEnabled, respond, scheduleTimer } from "./state.js";
import type { HeldResult, OwnerState, ShardState, Step, Waiter } from "./state.js";
import type { ShardEntry } from "./value.js";

/**
 * How long after the caller's deadline a result may wait to be recorded before it is delivered anyway. A process
 * that was paused past the deadline needs this time to learn of its successor; a compare-and-swap and a `settle`
 * call take a few milliseconds each.
 */
const recordGraceMs = 500;

/** Holds a result until it is recorded, so that no successor returns `unknown` for a key whose result a caller already has. */
export function deliverOnceRecorded(step: Step, entry: ShardEntry, result: SubmitResult): void {
    if (!isRuleEnabled(step.state, "recordedDelivery")) {
        respondToWaiters(step, entry.key, result);
        return;
    }
    step.state.held.set(entry.key, { intent: entry.intent, answer: result, deliverAtMs: undefined });
}

/** Marks the owner's entries up to a revision as recorded, that is, as safe if the owner is lost. */
export function markRecorded(owner: OwnerState, sequence: number): void {
    owner.recordedSequence = Math.max(owner.recordedSequence, sequence);
}

/** Sets the time at which a held result is delivered even if it is not recorded, once a caller's deadline has passed. */
export function setDeliveryDeadline(step: Step, key: string, held: HeldResult): void {
    if (held.deliverAtMs === undefined) {
        const deliverAtMs = step.state.nowMs + recordGraceMs;
        step.state.held.set(key, { ...held, deliverAtMs });
        scheduleTimer(step, deliverAtMs);
    }
}

/** Delivers held results that are recorded, and unrecorded ones whose delivery time has come to callers past their deadline. */
export function deliverHeldResults(step: Step): void {
    const { state } = step;
    for (const [key, held] of state.held) {
        if (isRecorded(state, key, held)) {
            state.held.delete(key);
            respondToWaiters(step, key, held.answer);
        }
        else if ((held.deliverAtMs ?? Infinity) <= state.nowMs) {
            deliverUnrecorded(step, key, held);
        }
    }
}

function deliverUnrecorded(step: Step, key: string, held: HeldResult): void {
    const { state } = step;
    const waiters = state.waiting.get(key) ?? [];
    const isExpired = (waiter: Waiter): boolean => waiter.deadlineMs <= state.nowMs;
    state.held.set(key, { ...held, deliverAtMs: undefined });
    state.waiting.set(key, waiters.filter(waiter => !isExpired(waiter)));
    waiters.filter(isExpired).forEach(waiter => respond(step, waiter.call, held.answer));
}

function isRecorded(state: ShardState, key: string, { intent }: HeldResult): boolean {
    if (intent !== undefined && state.unsettled.has(intent)) {
        return false;
    }
    const entry = state.owner?.entries.get(key);
    return state.owner === undefined || entry?.state !== "done" || entry.revision <= state.owner.recordedSequence;
}
