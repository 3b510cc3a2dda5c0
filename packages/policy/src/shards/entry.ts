import { deliverRecorded, hurryDelivery } from "./delivery.js";
import type { AttemptOutcome, ShardAnswer, SubmitInput } from "./message.js";
import { answer, isInForce, isServing, nextToken, wake } from "./state.js";
import type { OwnerState, ShardState, Step, Waiter } from "./state.js";
import type { ShardEntry, StoredResponse } from "./value.js";

type RefusalCode = Extract<ShardAnswer, { ok: false; }>["code"];

/** Results above this many Base64 characters are not recorded; a key that comes back is told that it was executed. */
const singleResultLimit = 262_144;

/** Handles a submission at the acting owner. */
export function submitToOwner(step: Step, owner: OwnerState, input: SubmitInput, arrival: number): void {
    const waiter: Waiter = { call: input.call, deadlineMs: input.deadlineMs, arrival };
    const entry = owner.entries.get(input.key);
    if ((owner.sealed.get(input.key) ?? 0) > step.state.nowMs) {
        answer(step, input.call, { ok: false, code: "shard.expired", executed: "yes" });
    }
    else if (entry !== undefined && entry.fingerprint !== input.fingerprint) {
        // A closed intent counts too: its write may still take effect and would then stand for the other request.
        answer(step, input.call, { ok: false, code: "shard.keyReused", executed: "no" });
    }
    else if (entry === undefined || entry.state === "notRun") {
        acceptKey(step, owner, input, waiter);
    }
    else if (entry.state === "done" && !step.state.held.has(input.key)) {
        answer(step, input.call, answerOf(entry));
    }
    else if (entry.state === "unknown") {
        resolveUnknown(step, owner, entry, input, waiter);
    }
    else {
        extendAttempt(step, entry, input.deadlineMs);
        addWaiter(step, input.key, waiter);
    }
}

function extendAttempt(step: Step, entry: ShardEntry, deadlineMs: number): void {
    const attempt = step.state.attempts.get(entry.intent ?? "");
    if (entry.intent !== undefined && attempt !== undefined && attempt.deadlineMs < deadlineMs) {
        step.state.attempts.set(entry.intent, { ...attempt, deadlineMs });
    }
}

function acceptKey(step: Step, owner: OwnerState, input: SubmitInput, waiter: Waiter): void {
    if (step.state.nowMs < owner.unknownUntilMs && isInForce(step.state, "unknownAfterLastResort")) {
        answer(step, input.call, { ok: false, code: "shard.unknown", executed: "unknown" });
        return;
    }
    const openCount = [...owner.entries.values()].filter(entry => entry.state === "accepted" || entry.state === "intent").length;
    if (openCount >= step.state.options.openEntryLimit || input.endpoints.length === 0) {
        refuse(step, waiter, openCount >= step.state.options.openEntryLimit ? "shard.overloaded" : "endpoint.refused");
        return;
    }
    writeIntent(step, owner, input, input.endpoints);
    addWaiter(step, input.key, waiter);
}

function writeIntent(
    step: Step,
    owner: OwnerState,
    input: SubmitInput,
    endpoints: readonly string[],
    isRepeat = false,
): void {
    const { key, fingerprint, customer, service, operation } = input;
    const named = input.repetition === "deduplicates" ? endpoints.slice(0, 1) : endpoints;
    const entry: Omit<ShardEntry, "epoch" | "revision"> = {
        key,
        fingerprint,
        customer,
        service,
        operation,
        state: "accepted",
        intent: nextToken(step.state),
        endpoints: named,
        sinceMs: step.state.nowMs,
        ...(isRepeat ? { isRepeat } : {}),
    };
    const changed = changeEntry(step, owner, entry);
    step.state.attempts.set(changed.intent ?? "", { entry: changed, endpointIndex: -1, deadlineMs: input.deadlineMs });
    if (!isInForce(step.state, "intentBeforeSend")) {
        startAttempts(step, owner, owner.sequence);
    }
}

function resolveUnknown(step: Step, owner: OwnerState, entry: ShardEntry, input: SubmitInput, waiter: Waiter): void {
    if (entry.intent !== undefined && step.state.attempts.has(entry.intent)) {
        addWaiter(step, input.key, waiter);
    }
    else if (input.repetition === "deduplicates" && entry.endpoints.length === 1) {
        // Only the endpoint that may have run the key recognises it, so no other one is named.
        writeIntent(step, owner, input, entry.endpoints, true);
        addWaiter(step, input.key, waiter);
    }
    else if (input.repetition === "status") {
        addWaiter(step, input.key, waiter);
        step.effects.push({ type: "query", key: input.key, endpoints: entry.endpoints });
    }
    else {
        answer(step, input.call, { ok: false, code: "shard.unknown", executed: "unknown" });
    }
}

/** Records a change of an entry under the next revision. */
export function changeEntry(step: Step, owner: OwnerState, entry: Omit<ShardEntry, "epoch" | "revision">): ShardEntry {
    owner.sequence += 1;
    owner.dirtySinceMs ??= step.state.nowMs;
    const changed = { ...entry, epoch: owner.epoch, revision: owner.sequence };
    owner.entries.set(entry.key, changed);
    return changed;
}

function addWaiter(step: Step, key: string, waiter: Waiter): void {
    step.state.waiting.set(key, [...step.state.waiting.get(key) ?? [], waiter]);
    wake(step, waiter.deadlineMs);
}

/** Sends every accepted entry whose intent is valid up to the given revision. */
export function startAttempts(step: Step, owner: OwnerState, sequence: number): void {
    for (const entry of owner.entries.values()) {
        if (entry.state !== "accepted" || entry.revision > sequence || entry.intent === undefined) {
            continue;
        }
        const attempt = step.state.attempts.get(entry.intent);
        const intent: ShardEntry = { ...entry, state: "intent" };
        owner.entries.set(entry.key, intent);
        if (attempt !== undefined) {
            step.state.attempts.set(entry.intent, { ...attempt, entry: intent });
            sendFirst(step, owner, intent);
        }
    }
}

/** Closes the intent instead when every caller's deadline passed while it was being written. */
function sendFirst(step: Step, owner: OwnerState, entry: ShardEntry): void {
    if (!sendNext(step, entry.intent ?? "")) {
        abandon(step, owner, entry);
        refuseWaiters(step, entry, "shard.unavailable");
    }
}

/** Refuses everyone who waits for a key whose intent was given up before it was used. */
export function refuseWaiters(step: Step, entry: ShardEntry, code: RefusalCode): void {
    const waiters = step.state.waiting.get(entry.key) ?? [];
    step.state.waiting.delete(entry.key);
    // The caller of a repeat is sent on to the successor, which may know the result.
    const repeated: ShardAnswer = code === "shard.notOwned" ? { ok: false, code, executed: "unknown" } : unknownAnswer;
    waiters.forEach(waiter => entry.isRepeat === true ? answer(step, waiter.call, repeated) : refuse(step, waiter, code));
}

function sendNext(step: Step, intent: string): boolean {
    const attempt = step.state.attempts.get(intent);
    const endpoint = attempt?.entry.endpoints[attempt.endpointIndex + 1];
    if (attempt === undefined || endpoint === undefined || attempt.deadlineMs <= step.state.nowMs) {
        return false;
    }
    step.state.attempts.set(intent, { ...attempt, endpointIndex: attempt.endpointIndex + 1 });
    const { entry, deadlineMs } = attempt;
    step.effects.push({ type: "send", key: entry.key, intent, endpoint, epoch: entry.epoch, deadlineMs });
    return true;
}

/** Handles the outcome of an attempt, whether or not this process still owns the shard. */
export function handleSent(step: Step, intent: string, outcome: AttemptOutcome): void {
    const attempt = step.state.attempts.get(intent);
    if (attempt === undefined) {
        return;
    }
    if (outcome.type === "notRun" && step.state.owner !== undefined && sendNext(step, intent)) {
        return;
    }
    step.state.attempts.delete(intent);
    const result = outcome.type === "response" ? limitResult(outcome.response) : undefined;
    const isUnknown = outcome.type === "unknown" || (outcome.type === "notRun" && attempt.entry.isRepeat === true);
    const state = isUnknown ? "unknown" : outcome.type === "notRun" ? "notRun" : "done";
    const finished: ShardEntry = {
        ...attempt.entry,
        state,
        sinceMs: step.state.nowMs,
        ...(result === undefined ? {} : { result }),
    };
    recordOutcome(step, finished);
    if (state === "notRun") {
        // A successor may have repeated the key at an endpoint that deduplicates, so this refusal alone proves nothing.
        refuseWaiters(step, finished, "endpoint.refused");
        return;
    }
    const outcomeAnswer = outcome.type === "response" ? { ok: true as const, response: outcome.response } : answerOf(finished);
    if (state === "done") {
        deliverRecorded(step, finished, outcomeAnswer);
    }
    else {
        answerWaiters(step, finished.key, outcomeAnswer);
    }
}

function limitResult(response: StoredResponse): StoredResponse | undefined {
    return response.body.length > singleResultLimit ? undefined : response;
}

/** The answer that an entry gives to a caller. */
export function answerOf(entry: ShardEntry): ShardAnswer {
    if (entry.state === "done") {
        return entry.result === undefined ?
            { ok: false, code: "shard.expired", executed: "yes" } :
            { ok: true, response: entry.result };
    }
    return entry.state === "notRun" ?
        { ok: false, code: "endpoint.refused", executed: "no" } :
        { ok: false, code: "shard.unknown", executed: "unknown" };
}

function recordOutcome(step: Step, finished: ShardEntry): void {
    const { state } = step;
    const entry = state.owner?.entries.get(finished.key);
    if (state.owner === undefined) {
        settleLater(state, finished);
    }
    else if (settles(entry, finished)) {
        changeEntry(step, state.owner, finished);
    }
}

/** Tells whether the outcome of an intent decides an entry: a result always, a proof of `notRun` only for that intent. */
export function settles(entry: ShardEntry | undefined, finished: ShardEntry): boolean {
    if (entry === undefined) {
        return finished.state === "done";
    }
    if (entry.intent === finished.intent) {
        return entry.state === "intent" || entry.state === "unknown";
    }
    return finished.state === "done" && entry.state === "unknown";
}

/** Keeps an outcome until the present owner has acknowledged it. */
export function settleLater(state: ShardState, finished: ShardEntry): void {
    if (finished.intent === undefined || (finished.state !== "done" && finished.state !== "notRun")) {
        return;
    }
    const { key, intent } = finished;
    const request = { type: "settle" as const, key, intent, state: finished.state, entry: finished };
    state.unsettled.set(intent, { request, retryAtMs: state.nowMs });
}

/** Answers everyone who waits for a key. */
export function answerWaiters(step: Step, key: string, value: ShardAnswer): void {
    const waiters = step.state.waiting.get(key) ?? [];
    step.state.waiting.delete(key);
    waiters.forEach(waiter => answer(step, waiter.call, value));
}

/** Applies the answer of an endpoint's status query; an answer `no` proves nothing, because a send may still be on its way. */
export function handleQueried(step: Step, key: string, response: StoredResponse | undefined): void {
    const owner = step.state.owner;
    const entry = owner?.entries.get(key);
    if (owner === undefined || entry?.state !== "unknown" || response === undefined) {
        answerWaiters(step, key, entry === undefined ? unknownAnswer : answerOf(entry));
        return;
    }
    const done = changeEntry(step, owner, { ...entry, state: "done", result: response, sinceMs: step.state.nowMs });
    deliverRecorded(step, done, answerOf(done));
}

const unknownAnswer: ShardAnswer = { ok: false, code: "shard.unknown", executed: "unknown" };

/**
 * Refuses a caller. `no` needs a proof of ownership obtained after the submission arrived: a former owner
 * that does not know of its successor can't tell whether the successor ran the key.
 */
export function refuse(step: Step, waiter: Waiter, code: RefusalCode): void {
    const isConfirmed = step.state.confirmed >= waiter.arrival || !isInForce(step.state, "confirmedRefusal");
    answer(step, waiter.call, { ok: false, code, executed: isConfirmed ? "no" : "unknown" });
}

/** Answers callers whose deadline has passed and gives up intents that nobody waits for any more. */
export function expireWaiters(step: Step): void {
    for (const [key, waiters] of step.state.waiting) {
        const late = waiters.filter(waiter => waiter.deadlineMs <= step.state.nowMs);
        if (late.length === 0) {
            continue;
        }
        const held = step.state.held.get(key);
        if (held !== undefined) {
            hurryDelivery(step, key, held);
            continue;
        }
        const rest = waiters.filter(waiter => !late.includes(waiter));
        if (rest.length > 0) {
            step.state.waiting.set(key, rest);
        }
        else {
            step.state.waiting.delete(key);
        }
        expireKey(step, key, late, rest.length === 0);
    }
    expireQueued(step);
}

function expireKey(step: Step, key: string, late: readonly Waiter[], isAbandoned: boolean): void {
    const { state } = step;
    const entry = state.owner?.entries.get(key);
    if (state.owner === undefined || entry?.state !== "accepted") {
        late.forEach(waiter => answer(step, waiter.call, unknownAnswer));
        return;
    }
    if (isAbandoned) {
        abandon(step, state.owner, entry);
    }
    const code = state.owner.mode === "witness" ? "shard.noWitness" : "shard.unavailable";
    const isRefused = isAbandoned && entry.isRepeat !== true;
    late.forEach(waiter => isRefused ? refuse(step, waiter, code) : answer(step, waiter.call, unknownAnswer));
}

/** Gives up the authorisation to send before anyone is told that the key was not run. */
function abandon(step: Step, owner: OwnerState, entry: ShardEntry): void {
    if (entry.intent !== undefined) {
        step.state.attempts.delete(entry.intent);
    }
    changeEntry(step, owner, { ...entry, state: entry.isRepeat === true ? "unknown" : "notRun", sinceMs: step.state.nowMs });
}

function expireQueued(step: Step): void {
    const late = step.state.queued.filter(item => item.input.deadlineMs <= step.state.nowMs);
    step.state.queued = step.state.queued.filter(item => !late.includes(item));
    late.forEach(item => answer(step, item.input.call, { ok: false, code: "shard.unavailable", executed: "unknown" }));
}

/** Hands queued submissions to the owner that this process has become. */
export function drainQueue(step: Step): void {
    const { owner } = step.state;
    if (owner === undefined || !isServing(owner)) {
        return;
    }
    const { queued } = step.state;
    step.state.queued = [];
    queued.forEach(item => submitToOwner(step, owner, item.input, item.arrival));
}

/** Turns foreign intents into `unknown`: only the process that wrote an intent knows how it ended. */
export function adoptEntries(state: ShardState, entries: Iterable<ShardEntry>): Map<string, ShardEntry> {
    const adopted = new Map<string, ShardEntry>();
    for (const entry of entries) {
        const isForeign = entry.state === "intent" && !state.attempts.has(entry.intent ?? "");
        if (isForeign && !isInForce(state, "neverRetryIntent")) {
            continue;
        }
        adopted.set(entry.key, isForeign ? { ...entry, state: "unknown" } : entry);
    }
    return adopted;
}
