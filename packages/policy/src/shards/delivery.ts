import { answerWaiters } from "./entry.js";
import type { ShardAnswer } from "./message.js";
import { answer, isInForce, wake } from "./state.js";
import type { HeldResult, OwnerState, ShardState, Step, Waiter } from "./state.js";
import type { ShardEntry } from "./value.js";

/**
 * How long after its caller's deadline a result waits to be recorded before it is delivered all the same. A process
 * that was paused past the deadline needs this to learn of its successor; a compare-and-swap and a settling call are
 * a few milliseconds each.
 */
const recordGraceMs = 500;

/** Delivers a result once it is recorded, so that a successor never answers `unknown` for a key whose caller has its result. */
export function deliverRecorded(step: Step, entry: ShardEntry, result: ShardAnswer): void {
    if (!isInForce(step.state, "recordedDelivery")) {
        answerWaiters(step, entry.key, result);
        return;
    }
    step.state.held.set(entry.key, { intent: entry.intent, answer: result, deliverAtMs: undefined });
}

/** Records how far the entries of the acting owner are safe from its loss. */
export function noteRecorded(owner: OwnerState, sequence: number): void {
    owner.recordedSequence = Math.max(owner.recordedSequence, sequence);
}

/** Sets the latest time of delivery of a held result whose callers' deadlines have passed. */
export function hurryDelivery(step: Step, key: string, held: HeldResult): void {
    if (held.deliverAtMs === undefined) {
        const deliverAtMs = step.state.nowMs + recordGraceMs;
        step.state.held.set(key, { ...held, deliverAtMs });
        wake(step, deliverAtMs);
    }
}

/** Delivers the held results that are recorded by now, and to callers that can't wait any longer those that aren't. */
export function deliverHeld(step: Step): void {
    const { state } = step;
    for (const [key, held] of state.held) {
        if (isRecorded(state, key, held)) {
            state.held.delete(key);
            answerWaiters(step, key, held.answer);
        }
        else if ((held.deliverAtMs ?? Infinity) <= state.nowMs) {
            deliverLate(step, key, held);
        }
    }
}

function deliverLate(step: Step, key: string, held: HeldResult): void {
    const { state } = step;
    const waiters = state.waiting.get(key) ?? [];
    const isLate = (waiter: Waiter): boolean => waiter.deadlineMs <= state.nowMs;
    state.held.set(key, { ...held, deliverAtMs: undefined });
    state.waiting.set(key, waiters.filter(waiter => !isLate(waiter)));
    waiters.filter(isLate).forEach(waiter => answer(step, waiter.call, held.answer));
}

function isRecorded(state: ShardState, key: string, { intent }: HeldResult): boolean {
    if (intent !== undefined && state.unsettled.has(intent)) {
        return false;
    }
    const entry = state.owner?.entries.get(key);
    return state.owner === undefined || entry?.state !== "done" || entry.revision <= state.owner.recordedSequence;
}
