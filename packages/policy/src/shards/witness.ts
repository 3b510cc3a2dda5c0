import {
    asIntent,
    buildValue,
    chooseSuccessor,
    dropChange,
    isUsable,
    loseOwnership,
    readBack,
    refreshStandbys,
} from "./commit.js";
import { noteRecorded } from "./delivery.js";
import { startAttempts } from "./entry.js";
import type { PeerReply, PeerRequest } from "./message.js";
import { actingSet, isInForce, wake } from "./state.js";
import type { HolderChange, OwnerState, ShardState, Step } from "./state.js";
import { holderKey, isNewerIncarnation, isNewerSet, isSameHolder } from "./value.js";
import type { Holder, HolderSet } from "./value.js";

type CopyRequest = Extract<PeerRequest, { type: "copy"; }>;

/** The standbys of every value that a successor may find in the key-value service, or of the completed change after it. */
function possibleSets(owner: OwnerState): (readonly Holder[])[] {
    // A completed change has the agreement of the holders of every write that was uncertain before it.
    const written = owner.write !== undefined && owner.write.value.change >= owner.change ? [owner.write.value.standbys] : [];
    return [owner.standbys, ...owner.uncertainSets, ...written];
}

/** All standbys that must acknowledge. */
export function requiredStandbys(owner: OwnerState): Holder[] {
    const all = [...possibleSets(owner).flat(), ...owner.droppedStandbys];
    return [...new Map(all.map(standby => [holderKey(standby), standby])).values()];
}

/** A successor that finds a set without standbys asks nobody, so that nothing can be done without the key-value service. */
function hasWitnesses(owner: OwnerState): boolean {
    return possibleSets(owner).every(standbys => standbys.length > 0);
}

/** Sends copies to the standbys, or changes the holder set, while the key-value service can't be reached. */
export function flushWitness(step: Step, owner: OwnerState): void {
    if (owner.mode !== "witness") {
        return;
    }
    if (owner.readIssued === undefined && owner.nextReadAtMs <= step.state.nowMs) {
        readBack(step, owner);
    }
    if (owner.holderChange === undefined) {
        proposeChange(step, owner);
    }
    if (owner.holderChange !== undefined) {
        askHolders(step, owner, owner.holderChange);
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
        set: actingSet(state, owner),
        sequence,
        issued: state.counter,
        storedSequence,
        entries,
    };
    const { confirmed } = known ?? { confirmed: 0 };
    const asked = { sequence: acknowledged, isInFlight: true, confirmed, retryAtMs: 0 };
    owner.acknowledgements.set(holderKey(standby), asked);
    step.effects.push({ type: "call", to: standby, request });
}

/** Handles a standby's answer to a copy. */
export function handleCopied(
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
        const confirmed = Math.max(known.confirmed, request.issued);
        owner.acknowledgements.set(holderKey(to), { ...known, sequence, isInFlight: false, confirmed });
        state.confirmed = Math.max(state.confirmed, confirmedByStandbys(owner));
        startWitnessed(step, owner);
        return;
    }
    const retryAtMs = state.nowMs + state.options.retryMs;
    owner.acknowledgements.set(holderKey(to), { ...known, isInFlight: false, retryAtMs });
    wake(step, retryAtMs);
    if (reply?.newest !== undefined && isForeignSet(owner, reply.newest)) {
        loseOwnership(step, reply.newest);
    }
    else {
        noteAbsence(step, to, reply);
    }
}

/** A takeover needs a promise from each set that it finds, so one acknowledgement of each set rules it out until then. */
function confirmedByStandbys(owner: OwnerState): number {
    const latest = possibleSets(owner).map(standbys =>
        Math.max(0, ...standbys.map(standby => owner.acknowledgements.get(holderKey(standby))?.confirmed ?? 0))
    );
    return Math.min(...latest);
}

function isForeignSet(owner: OwnerState, newest: HolderSet): boolean {
    const isTaken = newest.epoch === owner.epoch && isSameHolder(newest.owner, owner.successor) &&
        newest.change !== owner.holderChange?.set.change;
    return isTaken || isNewerSet(newest, { epoch: owner.epoch, change: owner.highestChange });
}

/** Remembers a process that is proven gone, or asks for a proof when a peer does not answer. */
export function noteAbsence(step: Step, to: Holder, reply: PeerReply | undefined): void {
    if (reply === undefined) {
        step.effects.push({ type: "prove", host: to.host });
        if (!isInForce(step.state, "proofOfTermination")) {
            step.state.gone.add(holderKey(to));
        }
    }
    else if (isNewerIncarnation(reply.holder.incarnation, to.incarnation)) {
        step.state.gone.add(holderKey(to));
    }
}

function startWitnessed(step: Step, owner: OwnerState): void {
    const required = requiredStandbys(owner);
    if (!hasWitnesses(owner) || owner.mode !== "witness") {
        return;
    }
    const sequences = required.map(standby => owner.acknowledgements.get(holderKey(standby))?.sequence ?? owner.storedSequence);
    const isAllNeeded = isInForce(step.state, "allAcknowledgements");
    const sequence = isAllNeeded ? Math.min(...sequences) : Math.max(...sequences);
    noteRecorded(owner, sequence);
    startAttempts(step, owner, sequence);
}

/** Proposes a successor when this host leaves, or other standbys when some are gone or leaving. */
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
    const present = isInForce(state, "agreementOfHolders") ? required : [];
    const all = [...present, ...set.standbys, set.owner].filter(holder => !isSameHolder(holder, state.options.self));
    return [...new Map(all.map(holder => [holderKey(holder), holder])).values()];
}

function askHolders(step: Step, owner: OwnerState, change: HolderChange): void {
    const { state } = step;
    if (change.retryAtMs > state.nowMs) {
        return;
    }
    const retryAtMs = state.nowMs + state.options.retryMs;
    owner.holderChange = { ...change, retryAtMs };
    wake(step, retryAtMs);
    const value = buildValue(state, owner, change.set);
    const sealed = [...owner.sealed];
    const { version, storedSequence } = owner;
    const request: PeerRequest = { type: "holders", set: change.set, version, storedSequence, value, sealed };
    change.needed.filter(holder => !change.agreed.has(holderKey(holder)) && !state.gone.has(holderKey(holder)))
        .forEach(to => step.effects.push({ type: "call", to, request }));
}

/** Handles a holder's answer to a proposed change. */
export function handleHolders(step: Step, owner: OwnerState, to: Holder, set: HolderSet, reply: PeerReply | undefined): void {
    const change = owner.holderChange;
    if (change === undefined || change.set.epoch !== set.epoch || change.set.change !== set.change) {
        return;
    }
    if (reply?.ok === true && isSameHolder(reply.holder, to)) {
        owner.holderChange = { ...change, agreed: new Set([...change.agreed, holderKey(to)]) };
    }
    else if (reply?.newest !== undefined && isForeignSet(owner, reply.newest)) {
        loseOwnership(step, reply.newest);
        return;
    }
    else {
        noteAbsence(step, to, reply);
    }
    completeChange(step, owner);
}

/** Puts a change in force when every holder has agreed or is proven gone and all new holders have the copies. */
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
        retryWithoutGone(step, owner, change, isNew);
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
 * A standby may have promised to a successor before it was terminated. Only one that agrees now proves that no
 * takeover with its promise has been completed, and every set that a successor may have found needs one.
 */
function hasSurvivors(state: ShardState, owner: OwnerState, change: HolderChange): boolean {
    return !isInForce(state, "survivingStandby") ||
        possibleSets(owner).every(standbys => standbys.some(standby => change.agreed.has(holderKey(standby))));
}

function retryWithoutGone(step: Step, owner: OwnerState, change: HolderChange, isNew: (holder: Holder) => boolean): void {
    const isLost = change.needed.some(holder => isNew(holder) && step.state.gone.has(holderKey(holder)));
    if (isLost && isSameHolder(change.set.owner, step.state.options.self)) {
        dropChange(owner);
        wake(step, step.state.nowMs);
    }
}

function adoptChange(step: Step, owner: OwnerState, change: HolderChange): void {
    const { state } = step;
    owner.change = change.set.change;
    owner.standbys = change.set.standbys;
    owner.uncertainSets = [];
    owner.droppedStandbys = [];
    state.known = change.set;
    const { sequence } = change;
    const acknowledged = { sequence, isInFlight: false, confirmed: 0, retryAtMs: 0 };
    owner.acknowledgements = new Map(change.set.standbys.map(standby => [holderKey(standby), acknowledged]));
    startWitnessed(step, owner);
}
