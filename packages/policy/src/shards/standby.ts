import { createOwner } from "./claim.js";
import { loseOwnership } from "./commit.js";
import { deliverOnceRecorded } from "./delivery.js";
import { changeEntry, decidesEntry, drainQueue, respondToWaiters, toSubmitResult } from "./entry.js";
import type { PeerReply, PeerRequest } from "./message.js";
import { activeSet, isRuleEnabled, scheduleTimer } from "./state.js";
import type { OwnerState, ShardState, Step } from "./state.js";
import { startTakeover } from "./takeover.js";
import { isNewerSet, isSameHolder, newerEntry } from "./value.js";
import type { Holder, HolderSet, ShardEntry } from "./value.js";

type RequestOf<T extends PeerRequest["type"]> = Extract<PeerRequest, { type: T; }>;

/** Replies to a peer's request; a request addressed to an earlier process on this host is rejected without effect. */
export function handleRequest(step: Step, to: Holder, request: PeerRequest): void {
    const isAddressed = request.type === "query" || isSameHolder(to, step.state.options.self);
    const reply = isAddressed ? createReply(step, request) : buildReply(step.state, false);
    step.effects.push({ type: "reply", reply });
}

function createReply(step: Step, request: PeerRequest): PeerReply {
    switch (request.type) {
        case "copy":
            return acceptCopy(step.state, request);
        case "promise":
            return promiseEpoch(step.state, request);
        case "release":
            return release(step, request);
        case "holders":
            return agreeToChange(step.state, request);
        case "activate":
            return activate(step, request);
        case "query":
            return promiseAndReportEntries(step.state, request);
        case "settle":
            return settle(step, request);
    }
}

function newestSet(state: ShardState): HolderSet | undefined {
    return state.owner === undefined ? state.knownSet : activeSet(state, state.owner);
}

function buildReply(state: ShardState, ok: boolean, copies?: readonly ShardEntry[]): PeerReply {
    return { holder: state.options.self, ok, newest: newestSet(state), agreed: state.agreed, copies };
}

function recordSet(state: ShardState, set: HolderSet): void {
    if (state.knownSet === undefined || isNewerSet(set, state.knownSet)) {
        state.knownSet = set;
    }
    if (state.agreed === undefined || isNewerSet(set, state.agreed)) {
        state.agreed = set;
    }
}

function acceptCopy(state: ShardState, request: RequestOf<"copy">): PeerReply {
    const newest = newestSet(state);
    const isOutdated = newest !== undefined && isNewerSet(newest, request.set);
    if (state.owner !== undefined || isOutdated || state.promisedEpoch >= request.set.epoch) {
        return buildReply(state, false);
    }
    recordSet(state, request.set);
    for (const copy of state.copies.values()) {
        const isStored = copy.epoch < request.set.epoch ||
            (copy.epoch === request.set.epoch && copy.revision <= request.storedSequence);
        if (isStored) {
            state.copies.delete(copy.key);
        }
    }
    request.entries.forEach(entry => addCopy(state, entry));
    return buildReply(state, true);
}

function addCopy(state: ShardState, entry: ShardEntry): void {
    state.copies.set(entry.key, newerEntry(state.copies.get(entry.key), entry));
}

function promiseEpoch(state: ShardState, request: RequestOf<"promise">): PeerReply {
    if ((newestSet(state)?.epoch ?? 0) > request.epoch) {
        return buildReply(state, false);
    }
    state.promisedEpoch = Math.max(state.promisedEpoch, request.epoch);
    return buildReply(state, true, copiedEntries(state));
}

function copiedEntries(state: ShardState): ShardEntry[] {
    return [...state.copies.values()];
}

/** Returns the entries except those that were never sent; an unsent retry leaves the key unknown. */
function decidedEntries(owner: OwnerState): ShardEntry[] {
    return [...owner.entries.values()].filter(entry => entry.state !== "accepted" || entry.isRepeat === true)
        .map(entry => entry.state === "accepted" ? { ...entry, state: "unknown" } : entry);
}

/** Gives up ownership to a successor that found all standbys gone; this also cancels a handover that is not in effect yet. */
function release(step: Step, request: RequestOf<"release">): PeerReply {
    const { state } = step;
    const { owner } = state;
    if (
        owner !== undefined && owner.epoch === request.epoch && owner.successor === undefined && owner.holderChange === undefined
    ) {
        const set = activeSet(state, owner);
        const entries = decidedEntries(owner);
        loseOwnership(step, set);
        entries.forEach(entry => addCopy(state, entry));
        state.releasedEpoch = request.epoch;
    }
    else if (
        owner === undefined && state.knownSet?.epoch === request.epoch && isSameHolder(state.knownSet.owner, state.options.self)
    ) {
        // The handover to this process is not in effect yet and can't take effect after this.
        state.releasedEpoch = request.epoch;
        state.promisedEpoch = Math.max(state.promisedEpoch, request.epoch);
    }
    const isReleased = state.owner === undefined && state.releasedEpoch === request.epoch;
    return buildReply(state, isReleased, isReleased ? copiedEntries(state) : undefined);
}

function agreeToChange(state: ShardState, request: RequestOf<"holders">): PeerReply {
    const newest = newestSet(state);
    const { set } = request;
    const isAgreed = newest !== undefined && newest.epoch === set.epoch && newest.change === set.change &&
        isSameHolder(newest.owner, set.owner);
    const isRefused = state.owner !== undefined || (newest !== undefined && !isNewerSet(set, newest)) ||
        state.promisedEpoch >= set.epoch;
    if (isRefused && !isAgreed) {
        return buildReply(state, false);
    }
    recordSet(state, set);
    if (state.owner === undefined) {
        request.value.entries.forEach(entry => addCopy(state, entry));
        state.handover = isSameHolder(set.owner, state.options.self) ? request : undefined;
    }
    return buildReply(state, true);
}

/** Becomes the owner by a handover to which all holders have agreed. */
function activate(step: Step, request: RequestOf<"activate">): PeerReply {
    const { state } = step;
    const { handover, knownSet } = state;
    const isCurrent = knownSet?.epoch === request.set.epoch && knownSet.change === request.set.change &&
        isSameHolder(knownSet.owner, state.options.self) && state.owner === undefined && state.releasedEpoch < knownSet.epoch;
    if (!isCurrent || handover?.set.change !== request.set.change || handover.set.epoch !== request.set.epoch) {
        // The former owner named this process in the key-value service, so the value is read from there.
        startTakeover(step, false);
        return buildReply(state, state.owner !== undefined);
    }
    const value = { ...handover.value, ...request.set };
    const owner = createOwner(state, handover.version, value, handover.storedSequence);
    owner.sealed = new Map(handover.sealed);
    owner.hasSegments = true;
    owner.mode = "witness";
    owner.nextReadAtMs = state.nowMs;
    state.owner = owner;
    state.takeover = undefined;
    state.handover = undefined;
    drainQueue(step);
    scheduleTimer(step, state.nowMs);
    return buildReply(state, true);
}

/** Reports all entries for a last-resort query; the promise keeps this host from becoming a holder after its reply. */
function promiseAndReportEntries(state: ShardState, request: RequestOf<"query">): PeerReply {
    state.promisedEpoch = Math.max(state.promisedEpoch, request.epoch);
    const own = state.owner === undefined ? [] : decidedEntries(state.owner);
    return buildReply(state, true, [...copiedEntries(state), ...own]);
}

/** Applies an outcome reported by a former owner, which retries until the result is recorded: its callers wait for that. */
function settle(step: Step, request: RequestOf<"settle">): PeerReply {
    const { owner } = step.state;
    if (owner === undefined) {
        return buildReply(step.state, false);
    }
    const entry = owner.entries.get(request.key);
    if (isOwnAttempt(step.state, entry)) {
        // If the own attempt ends without a result, a later call applies this outcome.
        return buildReply(step.state, false);
    }
    if (!decidesEntry(entry, request.entry)) {
        return buildReply(step.state, entry === undefined || entry.revision <= owner.recordedSequence);
    }
    const settled = changeEntry(step, owner, request.entry);
    if (settled.state !== "done") {
        respondToWaiters(step, request.key, toSubmitResult(settled));
        return buildReply(step.state, true);
    }
    deliverOnceRecorded(step, settled, toSubmitResult(settled));
    return buildReply(step.state, false);
}

function isOwnAttempt(state: ShardState, entry: ShardEntry | undefined): boolean {
    return entry?.intent !== undefined && state.attempts.has(entry.intent) && isRuleEnabled(state, "neverRetryIntent");
}
