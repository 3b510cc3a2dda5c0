import { deliverOnceRecorded, setDeliveryDeadline } from "./delivery.js";
import type { AttemptOutcome, SubmitInput, SubmitResult } from "./message.js";
import { isRuleEnabled, isServing, nextToken, respond, scheduleTimer } from "./state.js";
import type { OwnerState, ShardState, Step, Waiter } from "./state.js";
import type { ShardEntry, StoredResponse } from "./value.js";

type RefusalCode = Extract<SubmitResult, { ok: false; }>["code"];

/** Larger bodies (Base64 characters) are not recorded; a resubmission of the key gets `executed: yes` without the result. */
const resultCharacterLimit = 262_144;

/** Handles a submission at the owner. */
export function submitToOwner(step: Step, owner: OwnerState, input: SubmitInput, arrivalCounter: number): void {
    const waiter: Waiter = { call: input.call, deadlineMs: input.deadlineMs, arrivalCounter };
    const entry = owner.entries.get(input.key);
    if ((owner.sealed.get(input.key) ?? 0) > step.state.nowMs) {
        respond(step, input.call, { ok: false, code: "shard.expired", executed: "yes" });
    }
    else if (entry !== undefined && entry.fingerprint !== input.fingerprint) {
        // This includes closed intents: their write may still take effect and would then be attributed to the other request.
        respond(step, input.call, { ok: false, code: "shard.keyReused", executed: "no" });
    }
    else if (entry === undefined || entry.state === "notRun") {
        acceptKey(step, owner, input, waiter);
    }
    else if (entry.state === "done" && !step.state.held.has(input.key)) {
        respond(step, input.call, toSubmitResult(entry));
    }
    else if (entry.state === "unknown") {
        resolveUnknown(step, owner, entry, input, waiter);
    }
    else {
        extendDeadline(step, entry, input.deadlineMs);
        addWaiter(step, input.key, waiter);
    }
}

function extendDeadline(step: Step, entry: ShardEntry, deadlineMs: number): void {
    const attempt = step.state.attempts.get(entry.intent ?? "");
    if (entry.intent !== undefined && attempt !== undefined && attempt.deadlineMs < deadlineMs) {
        step.state.attempts.set(entry.intent, { ...attempt, deadlineMs });
    }
}

function acceptKey(step: Step, owner: OwnerState, input: SubmitInput, waiter: Waiter): void {
    if (step.state.nowMs < owner.unknownUntilMs && isRuleEnabled(step.state, "unknownAfterLastResort")) {
        respond(step, input.call, { ok: false, code: "shard.unknown", executed: "unknown" });
        return;
    }
    const openCount = [...owner.entries.values()].filter(entry => entry.state === "accepted" || entry.state === "intent").length;
    if (openCount >= step.state.options.openEntryLimit || input.endpoints.length === 0) {
        refuse(step, waiter, openCount >= step.state.options.openEntryLimit ? "shard.overloaded" : "endpoint.refused");
        return;
    }
    createIntent(step, owner, input, input.endpoints);
    addWaiter(step, input.key, waiter);
}

function createIntent(
    step: Step,
    owner: OwnerState,
    input: SubmitInput,
    endpoints: readonly string[],
    isRepeat = false,
): void {
    const { key, fingerprint, customer, service, operation } = input;
    const named = input.resolution === "deduplicates" ? endpoints.slice(0, 1) : endpoints;
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
    if (!isRuleEnabled(step.state, "intentBeforeSend")) {
        startAttempts(step, owner, owner.sequence);
    }
}

function resolveUnknown(step: Step, owner: OwnerState, entry: ShardEntry, input: SubmitInput, waiter: Waiter): void {
    if (entry.intent !== undefined && step.state.attempts.has(entry.intent)) {
        addWaiter(step, input.key, waiter);
    }
    else if (input.resolution === "deduplicates" && entry.endpoints.length === 1) {
        // Only the endpoint that may have run the key can deduplicate it, so the retry names no other.
        createIntent(step, owner, input, entry.endpoints, true);
        addWaiter(step, input.key, waiter);
    }
    else if (input.resolution === "status") {
        addWaiter(step, input.key, waiter);
        step.effects.push({ type: "query", key: input.key, endpoints: entry.endpoints });
    }
    else {
        respond(step, input.call, { ok: false, code: "shard.unknown", executed: "unknown" });
    }
}

/** Stores an entry under the next revision. */
export function changeEntry(step: Step, owner: OwnerState, entry: Omit<ShardEntry, "epoch" | "revision">): ShardEntry {
    owner.sequence += 1;
    owner.dirtySinceMs ??= step.state.nowMs;
    const changed = { ...entry, epoch: owner.epoch, revision: owner.sequence };
    owner.entries.set(entry.key, changed);
    return changed;
}

function addWaiter(step: Step, key: string, waiter: Waiter): void {
    step.state.waiting.set(key, [...step.state.waiting.get(key) ?? [], waiter]);
    scheduleTimer(step, waiter.deadlineMs);
}

/** Starts the attempts of accepted entries up to the given revision, whose intents are recorded. */
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
            startAttempt(step, owner, intent);
        }
    }
}

/** Sends to the first endpoint, or closes the intent if every caller's deadline passed while it was being written. */
function startAttempt(step: Step, owner: OwnerState, entry: ShardEntry): void {
    if (!sendToNextEndpoint(step, entry.intent ?? "")) {
        abandonIntent(step, owner, entry);
        refuseWaiters(step, entry, "shard.unavailable");
    }
}

/** Refuses all callers that wait for a key whose intent was abandoned without an execution. */
export function refuseWaiters(step: Step, entry: ShardEntry, code: RefusalCode): void {
    const waiters = step.state.waiting.get(entry.key) ?? [];
    step.state.waiting.delete(entry.key);
    // The caller of a retry is redirected to the successor, which may know the result.
    const retryResult: SubmitResult = code === "shard.notOwned" ? { ok: false, code, executed: "unknown" } : unknownResult;
    waiters.forEach(waiter => entry.isRepeat === true ? respond(step, waiter.call, retryResult) : refuse(step, waiter, code));
}

function sendToNextEndpoint(step: Step, intent: string): boolean {
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

/** Handles the outcome of an attempt, even if this process no longer owns the shard. */
export function handleSent(step: Step, intent: string, outcome: AttemptOutcome): void {
    const attempt = step.state.attempts.get(intent);
    if (attempt === undefined) {
        return;
    }
    if (outcome.type === "notRun" && step.state.owner !== undefined && sendToNextEndpoint(step, intent)) {
        return;
    }
    step.state.attempts.delete(intent);
    const result = outcome.type === "response" ? omitOversized(outcome.response) : undefined;
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
        // A successor may have retried the key at an endpoint that deduplicates, so this refusal alone proves nothing.
        refuseWaiters(step, finished, "endpoint.refused");
        return;
    }
    const submitResult = outcome.type === "response" ?
        { ok: true as const, response: outcome.response } :
        toSubmitResult(finished);
    if (state === "done") {
        deliverOnceRecorded(step, finished, submitResult);
    }
    else {
        respondToWaiters(step, finished.key, submitResult);
    }
}

function omitOversized(response: StoredResponse): StoredResponse | undefined {
    return response.body.length > resultCharacterLimit ? undefined : response;
}

/** Converts an entry to the result that a caller gets for it. */
export function toSubmitResult(entry: ShardEntry): SubmitResult {
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
        queueSettlement(state, finished);
    }
    else if (decidesEntry(entry, finished)) {
        changeEntry(step, state.owner, finished);
    }
}

/** Returns whether an outcome decides an entry: its own open intent always, a missing or unknown entry only by a result. */
export function decidesEntry(entry: ShardEntry | undefined, finished: ShardEntry): boolean {
    if (entry === undefined) {
        return finished.state === "done";
    }
    if (entry.intent === finished.intent) {
        return entry.state === "intent" || entry.state === "unknown";
    }
    return finished.state === "done" && entry.state === "unknown";
}

/** Queues an outcome to be reported until the current owner acknowledges it. */
export function queueSettlement(state: ShardState, finished: ShardEntry): void {
    if (finished.intent === undefined || (finished.state !== "done" && finished.state !== "notRun")) {
        return;
    }
    const { key, intent } = finished;
    const request = { type: "settle" as const, key, intent, state: finished.state, entry: finished };
    state.unsettled.set(intent, { request, retryAtMs: state.nowMs });
}

/** Responds to all callers that wait for a key. */
export function respondToWaiters(step: Step, key: string, value: SubmitResult): void {
    const waiters = step.state.waiting.get(key) ?? [];
    step.state.waiting.delete(key);
    waiters.forEach(waiter => respond(step, waiter.call, value));
}

/** Applies the response to a status query; `no` proves nothing, because a request may still be in flight. */
export function handleQueried(step: Step, key: string, response: StoredResponse | undefined): void {
    const owner = step.state.owner;
    const entry = owner?.entries.get(key);
    if (owner === undefined || entry?.state !== "unknown" || response === undefined) {
        respondToWaiters(step, key, entry === undefined ? unknownResult : toSubmitResult(entry));
        return;
    }
    const done = changeEntry(step, owner, { ...entry, state: "done", result: response, sinceMs: step.state.nowMs });
    deliverOnceRecorded(step, done, toSubmitResult(done));
}

const unknownResult: SubmitResult = { ok: false, code: "shard.unknown", executed: "unknown" };

/**
 * Refuses a caller. `executed: no` requires a proof of ownership obtained after the submission arrived: a former
 * owner that does not know of its successor can't tell whether the successor ran the key.
 */
export function refuse(step: Step, waiter: Waiter, code: RefusalCode): void {
    const isConfirmed = step.state.confirmedCounter >= waiter.arrivalCounter || !isRuleEnabled(step.state, "confirmedRefusal");
    respond(step, waiter.call, { ok: false, code, executed: isConfirmed ? "no" : "unknown" });
}

/** Responds to callers whose deadline has passed and abandons intents that have no waiting callers left. */
export function expireWaiters(step: Step): void {
    for (const [key, waiters] of step.state.waiting) {
        const expired = waiters.filter(waiter => waiter.deadlineMs <= step.state.nowMs);
        if (expired.length === 0) {
            continue;
        }
        const held = step.state.held.get(key);
        if (held !== undefined) {
            setDeliveryDeadline(step, key, held);
            continue;
        }
        const remaining = waiters.filter(waiter => !expired.includes(waiter));
        if (remaining.length > 0) {
            step.state.waiting.set(key, remaining);
        }
        else {
            step.state.waiting.delete(key);
        }
        expireKey(step, key, expired, remaining.length === 0);
    }
    expireQueued(step);
}

function expireKey(step: Step, key: string, expired: readonly Waiter[], isAbandoned: boolean): void {
    const { state } = step;
    const entry = state.owner?.entries.get(key);
    if (state.owner === undefined || entry?.state !== "accepted") {
        expired.forEach(waiter => respond(step, waiter.call, unknownResult));
        return;
    }
    if (isAbandoned) {
        abandonIntent(step, state.owner, entry);
    }
    const code = state.owner.mode === "witness" ? "shard.noWitness" : "shard.unavailable";
    const isRefused = isAbandoned && entry.isRepeat !== true;
    expired.forEach(waiter => isRefused ? refuse(step, waiter, code) : respond(step, waiter.call, unknownResult));
}

/** Revokes the permission to send, which must happen before a caller is told that the key was not run. */
function abandonIntent(step: Step, owner: OwnerState, entry: ShardEntry): void {
    if (entry.intent !== undefined) {
        step.state.attempts.delete(entry.intent);
    }
    changeEntry(step, owner, { ...entry, state: entry.isRepeat === true ? "unknown" : "notRun", sinceMs: step.state.nowMs });
}

function expireQueued(step: Step): void {
    const expired = step.state.queued.filter(item => item.input.deadlineMs <= step.state.nowMs);
    step.state.queued = step.state.queued.filter(item => !expired.includes(item));
    expired.forEach(item => respond(step, item.input.call, { ok: false, code: "shard.unavailable", executed: "unknown" }));
}

/** Processes submissions that were queued until this process became the owner. */
export function drainQueue(step: Step): void {
    const { owner } = step.state;
    if (owner === undefined || !isServing(owner)) {
        return;
    }
    const { queued } = step.state;
    step.state.queued = [];
    queued.forEach(item => submitToOwner(step, owner, item.input, item.arrivalCounter));
}

/** Marks intents of other processes as `unknown`: only the process that wrote an intent knows its outcome. */
export function adoptEntries(state: ShardState, entries: Iterable<ShardEntry>): Map<string, ShardEntry> {
    const adopted = new Map<string, ShardEntry>();
    for (const entry of entries) {
        const isForeign = entry.state === "intent" && !state.attempts.has(entry.intent ?? "");
        if (isForeign && !isRuleEnabled(state, "neverRetryIntent")) {
            continue;
        }
        adopted.set(entry.key, isForeign ? { ...entry, state: "unknown" } : entry);
    }
    return adopted;
}
