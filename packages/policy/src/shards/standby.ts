import { createOwner } from "./claim.js";
import { loseOwnership } from "./commit.js";
import { deliverRecorded } from "./delivery.js";
import { answerOf, answerWaiters, changeEntry, drainQueue, settles } from "./entry.js";
import type { PeerReply, PeerRequest } from "./message.js";
import { actingSet, isInForce, wake } from "./state.js";
import type { OwnerState, ShardState, Step } from "./state.js";
import { startTakeover } from "./takeover.js";
import { isNewerSet, isSameHolder, newerEntry } from "./value.js";
import type { Holder, HolderSet, ShardEntry } from "./value.js";

type RequestOf<T extends PeerRequest["type"]> = Extract<PeerRequest, { type: T; }>;

/** Answers a request of a peer's machine at once; one that is meant for an earlier process on this host changes nothing. */
export function handleRequest(step: Step, to: Holder, request: PeerRequest): void {
    const isAddressed = request.type === "query" || isSameHolder(to, step.state.options.self);
    const answer = isAddressed ? replyTo(step, request) : reply(step.state, false);
    step.effects.push({ type: "reply", reply: answer });
}

function replyTo(step: Step, request: PeerRequest): PeerReply {
    switch (request.type) {
        case "copy":
            return acceptCopy(step.state, request);
        case "promise":
            return promise(step.state, request);
        case "release":
            return release(step, request);
        case "holders":
            return agree(step.state, request);
        case "activate":
            return activate(step, request);
        case "query":
            return promiseAndReport(step.state, request);
        case "settle":
            return settle(step, request);
    }
}

function newestSet(state: ShardState): HolderSet | undefined {
    return state.owner === undefined ? state.known : actingSet(state, state.owner);
}

function reply(state: ShardState, ok: boolean, copies?: readonly ShardEntry[]): PeerReply {
    return { holder: state.options.self, ok, newest: newestSet(state), agreed: state.agreed, copies };
}

function remember(state: ShardState, set: HolderSet): void {
    if (state.known === undefined || isNewerSet(set, state.known)) {
        state.known = set;
    }
    if (state.agreed === undefined || isNewerSet(set, state.agreed)) {
        state.agreed = set;
    }
}

function acceptCopy(state: ShardState, request: RequestOf<"copy">): PeerReply {
    const newest = newestSet(state);
    const isOutdated = newest !== undefined && isNewerSet(newest, request.set);
    if (state.owner !== undefined || isOutdated || state.promisedEpoch >= request.set.epoch) {
        return reply(state, false);
    }
    remember(state, request.set);
    for (const copy of state.copies.values()) {
        const isStored = copy.epoch < request.set.epoch ||
            (copy.epoch === request.set.epoch && copy.revision <= request.storedSequence);
        if (isStored) {
            state.copies.delete(copy.key);
        }
    }
    request.entries.forEach(entry => addCopy(state, entry));
    return reply(state, true);
}

function addCopy(state: ShardState, entry: ShardEntry): void {
    state.copies.set(entry.key, newerEntry(state.copies.get(entry.key), entry));
}

function promise(state: ShardState, request: RequestOf<"promise">): PeerReply {
    if ((newestSet(state)?.epoch ?? 0) > request.epoch) {
        return reply(state, false);
    }
    state.promisedEpoch = Math.max(state.promisedEpoch, request.epoch);
    return reply(state, true, heldEntries(state));
}

function heldEntries(state: ShardState): ShardEntry[] {
    return [...state.copies.values()];
}

/** The entries without those that were never sent; a repeated intent that was not sent leaves the key unknown. */
function decidedEntries(owner: OwnerState): ShardEntry[] {
    return [...owner.entries.values()].filter(entry => entry.state !== "accepted" || entry.isRepeat === true)
        .map(entry => entry.state === "accepted" ? { ...entry, state: "unknown" } : entry);
}

/** Gives up ownership for a successor that found all standbys gone; a delegation that is not in force yet ends with it. */
function release(step: Step, request: RequestOf<"release">): PeerReply {
    const { state } = step;
    const { owner } = state;
    if (
        owner !== undefined && owner.epoch === request.epoch && owner.successor === undefined && owner.holderChange === undefined
    ) {
        const set = actingSet(state, owner);
        const entries = decidedEntries(owner);
        loseOwnership(step, set);
        entries.forEach(entry => addCopy(state, entry));
        state.releasedEpoch = request.epoch;
    }
    else if (owner === undefined && state.known?.epoch === request.epoch && isSameHolder(state.known.owner, state.options.self)) {
        // The delegation to this process is not in force yet; from now on it never will be.
        state.releasedEpoch = request.epoch;
        state.promisedEpoch = Math.max(state.promisedEpoch, request.epoch);
    }
    const isReleased = state.owner === undefined && state.releasedEpoch === request.epoch;
    return reply(state, isReleased, isReleased ? heldEntries(state) : undefined);
}

function agree(state: ShardState, request: RequestOf<"holders">): PeerReply {
    const newest = newestSet(state);
    const { set } = request;
    const isAgreed = newest !== undefined && newest.epoch === set.epoch && newest.change === set.change &&
        isSameHolder(newest.owner, set.owner);
    const isRefused = state.owner !== undefined || (newest !== undefined && !isNewerSet(set, newest)) ||
        state.promisedEpoch >= set.epoch;
    if (isRefused && !isAgreed) {
        return reply(state, false);
    }
    remember(state, set);
    if (state.owner === undefined) {
        request.value.entries.forEach(entry => addCopy(state, entry));
        state.handover = isSameHolder(set.owner, state.options.self) ? request : undefined;
    }
    return reply(state, true);
}

/** Starts to act as owner under a delegation to which all holders have agreed. */
function activate(step: Step, request: RequestOf<"activate">): PeerReply {
    const { state } = step;
    const { handover, known } = state;
    const isCurrent = known?.epoch === request.set.epoch && known.change === request.set.change &&
        isSameHolder(known.owner, state.options.self) && state.owner === undefined && state.releasedEpoch < known.epoch;
    if (!isCurrent || handover?.set.change !== request.set.change || handover.set.epoch !== request.set.epoch) {
        // The former owner named this process in the key-value service; what it wrote is read from there.
        startTakeover(step, false);
        return reply(state, state.owner !== undefined);
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
    wake(step, state.nowMs);
    return reply(state, true);
}

/** A host without newer knowledge promises as well, so that it can't become a holder after it answered. */
function promiseAndReport(state: ShardState, request: RequestOf<"query">): PeerReply {
    state.promisedEpoch = Math.max(state.promisedEpoch, request.epoch);
    const own = state.owner === undefined ? [] : decidedEntries(state.owner);
    return reply(state, true, [...heldEntries(state), ...own]);
}

/** Takes over an outcome. The former owner asks again until a result is recorded: its callers wait for that. */
function settle(step: Step, request: RequestOf<"settle">): PeerReply {
    const { owner } = step.state;
    if (owner === undefined) {
        return reply(step.state, false);
    }
    const entry = owner.entries.get(request.key);
    if (isOwnAttempt(step.state, entry)) {
        // An attempt that ends without a result leaves the key to this outcome.
        return reply(step.state, false);
    }
    if (!settles(entry, request.entry)) {
        return reply(step.state, entry === undefined || entry.revision <= owner.recordedSequence);
    }
    const settled = changeEntry(step, owner, request.entry);
    if (settled.state !== "done") {
        answerWaiters(step, request.key, answerOf(settled));
        return reply(step.state, true);
    }
    deliverRecorded(step, settled, answerOf(settled));
    return reply(step.state, false);
}

function isOwnAttempt(state: ShardState, entry: ShardEntry | undefined): boolean {
    return entry?.intent !== undefined && state.attempts.has(entry.intent) && isInForce(state, "neverRetryIntent");
}
