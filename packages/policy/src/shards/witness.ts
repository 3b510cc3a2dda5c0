import {
    asIntent,
    buildValue,
    cancelChange,
    chooseSuccessor,
    isUsable,
    loseOwnership,
    readBack,
    refreshStandbys,
} from "./commit.js";
import { markRecorded } from "./delivery.js";
import { startAttempts } from "./entry.js";
import type { PeerReply, PeerRequest } from "./message.js";
import { activeSet, isRuleEnabled, scheduleTimer } from "./state.js";
import type { HolderChange, OwnerState, ShardState, Step } from "./state.js";
import { holderKey, isNewerIncarnation, isNewerSet, isSameHolder } from "./value.js";
import type { Holder, HolderSet } from "./value.js";

type CopyRequest = Extract<PeerRequest, { type: "copy"; }>;

/** The standbys of each set that a successor may find: of every possible stored value, or of the completed change after it. */
function possibleSets(owner: OwnerState): (readonly Holder[])[] {
    // All holders of writes that were uncertain before a completed change have agreed to it, so those writes no longer count.
    const written = owner.write !== undefined && owner.write.value.change >= owner.change ? [owner.write.value.standbys] : [];
    return [owner.standbys, ...owner.uncertainSets, ...written];
}

/** Returns every standby that must acknowledge a copy. */
export function requiredStandbys(owner: OwnerState): Holder[] {
    const all = [...possibleSets(owner).flat(), ...owner.droppedStandbys];
    return [...new Map(all.map(standby => [holderKey(standby), standby])).values()];
}

/** A successor that finds a set without standbys needs no promise, so the owner can't act without the key-value service. */
function hasWitnesses(owner: OwnerState): boolean {
    return possibleSets(owner).every(standbys => standbys.length > 0);
}

/** Sends copies to the standbys, or changes the holder set, while the key-value service is unreachable. */
export function flushWitness(step: Step, owner: OwnerState): void {
    if (owner.mode !== "witness") {
        return;
    }
    if (owner.readCounter === undefined && owner.nextReadAtMs <= step.state.nowMs) {
        readBack(step, owner);
    }
    if (owner.holderChange === undefined) {
        proposeChange(step, owner);
    }
    if (owner.holderChange !== undefined) {
        requestAgreement(step, owner, owner.holderChange);
        return;
    }
    requiredStandbys(owner).forEach(standby => sendCopy(step, owner, standby));
}

function sendCopy(step: Step, owner: OwnerState, standby: Holder): void {
    const { state } = step;
    const known = owner.acknowledgements.get(holderKey(standby));
    const acknowledged = known?.sequence ?? owner.storedSequence;
    if (known?.isInFlight === true || acknowledged >= owner.sequence || (known?.retryAtMs ?? 0) > state.nowMs) {
        return;
    }
    const entries = [...owner.entries.values()].filter(entry => entry.revision > acknowledged).map(asIntent);
    const { sequence, storedSequence } = owner;
    const request: CopyRequest = {
        type: "copy",
        set: activeSet(state, owner),
        sequence,
        issued: state.counter,
        storedSequence,
        entries,
    };
    const { confirmedCounter } = known ?? { confirmedCounter: 0 };
    const updated = { sequence: acknowledged, isInFlight: true, confirmedCounter, retryAtMs: 0 };
    owner.acknowledgements.set(holderKey(standby), updated);
    step.effects.push({ type: "call", to: standby, request });
}

/** Handles a standby's reply to a copy. */
export function handleCopyReply(
    step: Step,
    owner: OwnerState,
    to: Holder,
    request: CopyRequest,
    reply: PeerReply | undefined,
): void {
    const { state } = step;
    const known = owner.acknowledgements.get(holderKey(to));
    if (known === undefined || request.set.epoch !== owner.epoch) {
        return;
    }
    if (reply?.ok === true && isSameHolder(reply.holder, to)) {
        const sequence = Math.max(known.sequence, request.sequence);
        const confirmedCounter = Math.max(known.confirmedCounter, request.issued);
        owner.acknowledgements.set(holderKey(to), { ...known, sequence, isInFlight: false, confirmedCounter });
        state.confirmedCounter = Math.max(state.confirmedCounter, confirmedCounterOf(owner));
        startAcknowledged(step, owner);
        return;
    }
    const retryAtMs = state.nowMs + state.options.retryMs;
    owner.acknowledgements.set(holderKey(to), { ...known, isInFlight: false, retryAtMs });
    scheduleTimer(step, retryAtMs);
    if (reply?.newest !== undefined && isSupersededBy(owner, reply.newest)) {
        loseOwnership(step, reply.newest);
    }
    else {
        checkTermination(step, to, reply);
    }
}

/**
 * A takeover needs a promise from each set that it finds, so one acknowledgement from each set proves that none had
 * completed by then.
 */
function confirmedCounterOf(owner: OwnerState): number {
    const latest = possibleSets(owner).map(standbys =>
        Math.max(0, ...standbys.map(standby => owner.acknowledgements.get(holderKey(standby))?.confirmedCounter ?? 0))
    );
    return Math.min(...latest);
}

function isSupersededBy(owner: OwnerState, newest: HolderSet): boolean {
    const isTaken = newest.epoch === owner.epoch && isSameHolder(newest.owner, owner.successor) &&
        newest.change !== owner.holderChange?.set.change;
    return isTaken || isNewerSet(newest, { epoch: owner.epoch, change: owner.highestChange });
}

/** Requests proof of termination for a peer that did not reply; marks a process as gone if its host runs a newer one. */
export function checkTermination(step: Step, to: Holder, reply: PeerReply | undefined): void {
    if (reply === undefined) {
        step.effects.push({ type: "prove", host: to.host });
        if (!isRuleEnabled(step.state, "proofOfTermination")) {
            step.state.gone.add(holderKey(to));
        }
    }
    else if (isNewerIncarnation(reply.holder.incarnation, to.incarnation)) {
        step.state.gone.add(holderKey(to));
    }
}

function startAcknowledged(step: Step, owner: OwnerState): void {
    const required = requiredStandbys(owner);
    if (!hasWitnesses(owner) || owner.mode !== "witness") {
        return;
    }
    const sequences = required.map(standby => owner.acknowledgements.get(holderKey(standby))?.sequence ?? owner.storedSequence);
    const needsAll = isRuleEnabled(step.state, "allAcknowledgements");
    const sequence = needsAll ? Math.min(...sequences) : Math.max(...sequences);
    markRecorded(owner, sequence);
    startAttempts(step, owner, sequence);
}

/** Proposes a successor if this host is leaving, or new standbys if some are gone or leaving. */
function proposeChange(step: Step, owner: OwnerState): void {
    const { state } = step;
    const required = requiredStandbys(owner);
    const successor = owner.successor ?? (state.isLeaving ? chooseSuccessor(state, owner) : undefined);
    const isReplacing = required.some(standby => state.gone.has(holderKey(standby)) || isLeavingMember(state, standby));
    if (!hasWitnesses(owner) || (successor === undefined && !isReplacing)) {
        return;
    }
    const chosen = successor ?? state.options.self;
    const standbys = refreshStandbys(state, chosen, owner.standbys);
    if (standbys.length === 0) {
        return;
    }
    owner.highestChange += 1;
    owner.successor = successor;
    const set = { epoch: owner.epoch, change: owner.highestChange, owner: chosen, standbys };
    owner.holderChange = {
        set,
        sequence: owner.sequence,
        needed: neededHolders(state, required, set),
        agreed: new Set(),
        retryAtMs: state.nowMs,
    };
}

function isLeavingMember(state: ShardState, standby: Holder): boolean {
    return !isUsable(state, standby) && state.members.some(member => isSameHolder(member, standby) && member.state === "leaving");
}

function neededHolders(state: ShardState, required: readonly Holder[], set: HolderSet): Holder[] {
    const present = isRuleEnabled(state, "agreementOfHolders") ? required : [];
    const all = [...present, ...set.standbys, set.owner].filter(holder => !isSameHolder(holder, state.options.self));
    return [...new Map(all.map(holder => [holderKey(holder), holder])).values()];
}

function requestAgreement(step: Step, owner: OwnerState, change: HolderChange): void {
    const { state } = step;
    if (change.retryAtMs > state.nowMs) {
        return;
    }
    const retryAtMs = state.nowMs + state.options.retryMs;
    owner.holderChange = { ...change, retryAtMs };
    scheduleTimer(step, retryAtMs);
    const value = buildValue(state, owner, change.set);
    const sealed = [...owner.sealed];
    const { version, storedSequence } = owner;
    const request: PeerRequest = { type: "holders", set: change.set, version, storedSequence, value, sealed };
    change.needed.filter(holder => !change.agreed.has(holderKey(holder)) && !state.gone.has(holderKey(holder)))
        .forEach(to => step.effects.push({ type: "call", to, request }));
}

/** Handles a holder's reply to a proposed change. */
export function handleAgreementReply(
    step: Step,
    owner: OwnerState,
    to: Holder,
    set: HolderSet,
    reply: PeerReply | undefined,
): void {
    const change = owner.holderChange;
    if (change === undefined || change.set.epoch !== set.epoch || change.set.change !== set.change) {
        return;
    }
    if (reply?.ok === true && isSameHolder(reply.holder, to)) {
        owner.holderChange = { ...change, agreed: new Set([...change.agreed, holderKey(to)]) };
    }
    else if (reply?.newest !== undefined && isSupersededBy(owner, reply.newest)) {
        loseOwnership(step, reply.newest);
        return;
    }
    else {
        checkTermination(step, to, reply);
    }
    completeChange(step, owner);
}

/** Applies a change once every holder has agreed or is proven terminated and all new holders have the copies. */
export function completeChange(step: Step, owner: OwnerState): void {
    const { state } = step;
    const change = owner.holderChange;
    if (change === undefined) {
        return;
    }
    const isNew = (holder: Holder): boolean =>
        isSameHolder(holder, change.set.owner) || change.set.standbys.some(standby => isSameHolder(standby, holder));
    const isMissing = (holder: Holder): boolean =>
        !change.agreed.has(holderKey(holder)) && !(state.gone.has(holderKey(holder)) && !isNew(holder));
    if (change.needed.some(isMissing) || !hasSurvivors(state, owner, change)) {
        cancelIfHolderGone(step, owner, change, isNew);
        return;
    }
    owner.holderChange = undefined;
    if (!isSameHolder(change.set.owner, state.options.self)) {
        state.activation = { set: change.set, retryAtMs: state.nowMs };
        loseOwnership(step, change.set);
        return;
    }
    adoptChange(step, owner, change);
}

/**
 * A standby may have promised to a successor before it was terminated. Only a standby that agrees now proves that no
 * takeover completed with its promise, so each set that a successor may have found must contain one.
 */
function hasSurvivors(state: ShardState, owner: OwnerState, change: HolderChange): boolean {
    return !isRuleEnabled(state, "survivingStandby") ||
        possibleSets(owner).every(standbys => standbys.some(standby => change.agreed.has(holderKey(standby))));
}

function cancelIfHolderGone(step: Step, owner: OwnerState, change: HolderChange, isNew: (holder: Holder) => boolean): void {
    const isLost = change.needed.some(holder => isNew(holder) && step.state.gone.has(holderKey(holder)));
    if (isLost && isSameHolder(change.set.owner, step.state.options.self)) {
        cancelChange(owner);
        scheduleTimer(step, step.state.nowMs);
    }
}

function adoptChange(step: Step, owner: OwnerState, change: HolderChange): void {
    const { state } = step;
    owner.change = change.set.change;
    owner.standbys = change.set.standbys;
    owner.uncertainSets = [];
    owner.droppedStandbys = [];
    state.knownSet = change.set;
    const { sequence } = change;
    const acknowledged = { sequence, isInFlight: false, confirmedCounter: 0, retryAtMs: 0 };
    owner.acknowledgements = new Map(change.set.standbys.map(standby => [holderKey(standby), acknowledged]));
    startAcknowledged(step, owner);
}
