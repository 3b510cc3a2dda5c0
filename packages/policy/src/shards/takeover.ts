import { becomeOwner, claimOwnership } from "./claim.js";
import type { Candidate, PeerReply, PeerRequest } from "./message.js";
import { isRuleEnabled, scheduleTimer } from "./state.js";
import type { ShardState, Step, Takeover } from "./state.js";
import { holderKey, holderSetOf, isNewerSet, isSameHolder, newerEntry } from "./value.js";
import type { Holder, HolderSet, ShardEntry, ShardValue, VersionedValue } from "./value.js";
import { checkTermination } from "./witness.js";

/** Starts to look up the owner and to take over the shard if there is none. */
export function startTakeover(step: Step, isForced: boolean): void {
    const { state } = step;
    if (state.owner !== undefined) {
        return;
    }
    if (state.takeover !== undefined) {
        state.takeover.isForced ||= isForced;
        return;
    }
    state.takeover = {
        stage: "reading",
        base: undefined,
        sets: [],
        required: [],
        releaseRequested: [],
        promised: new Map(),
        isReleased: false,
        copies: new Map(),
        answers: new Map(),
        previousAnswers: undefined,
        hosts: [],
        isLastResort: false,
        write: undefined,
        isForced,
        retryAtMs: 0,
    };
    step.effects.push({ type: "read" });
}

/** Handles the value read for a takeover. */
export function handleTakeoverRead(step: Step, takeover: Takeover, result: VersionedValue | "missing" | "unavailable"): void {
    const { state } = step;
    if (takeover.stage !== "reading") {
        return;
    }
    if (result === "unavailable") {
        scheduleRetry(step, takeover);
    }
    else if (result === "missing") {
        claimOwnership(step, takeover, undefined);
    }
    else if (takeover.write !== undefined && takeover.write.token === result.value.writer) {
        becomeOwner(step, result.version, takeover.write.value);
    }
    else if (canResume(state, result.value)) {
        becomeOwner(step, result.version, result.value);
    }
    else if (isOwnerPresent(state, takeover, result.value)) {
        abandonTakeover(step, holderSetOf(result.value));
    }
    else {
        collectPromises(step, takeover, result);
    }
}

/** Returns whether this process is the owner by the stored value and has not handed the shard over since. */
function canResume(state: ShardState, value: ShardValue): boolean {
    const hasHandedOver = state.releasedEpoch >= value.epoch ||
        (state.knownSet !== undefined && isNewerSet(state.knownSet, value));
    return isSameHolder(value.owner, state.options.self) && !hasHandedOver;
}

function isOwnerPresent(state: ShardState, takeover: Takeover, value: ShardValue): boolean {
    const newest = state.knownSet !== undefined && state.knownSet.epoch === value.epoch && isNewerSet(state.knownSet, value) ?
        state.knownSet :
        value;
    const owner = state.members.find(member => isSameHolder(member, newest.owner));
    const isServing = owner?.state === "alive" || owner?.state === "suspect";
    return !takeover.isForced && isServing && !isSameHolder(newest.owner, state.options.self);
}

function abandonTakeover(step: Step, set: HolderSet): void {
    const { state } = step;
    if (state.knownSet === undefined || isNewerSet(set, state.knownSet)) {
        state.knownSet = set;
    }
    state.takeover = undefined;
    const { queued } = state;
    state.queued = [];
    queued.forEach(item =>
        step.effects.push({
            type: "answer",
            call: item.input.call,
            answer: { ok: false, code: "shard.notOwned", executed: "unknown" },
        })
    );
}

function scheduleRetry(step: Step, takeover: Takeover): void {
    takeover.retryAtMs = step.state.nowMs + step.state.options.retryMs;
    scheduleTimer(step, takeover.retryAtMs);
}

/** Restarts a takeover from the read once its retry time has come. */
export function retryTakeover(step: Step, takeover: Takeover): void {
    if (takeover.retryAtMs === 0 || takeover.retryAtMs > step.state.nowMs) {
        return;
    }
    takeover.retryAtMs = 0;
    takeover.stage = "reading";
    step.effects.push({ type: "read" });
}

function collectPromises(step: Step, takeover: Takeover, base: VersionedValue): void {
    const { state } = step;
    if (takeover.base !== undefined && takeover.base.value.epoch !== base.value.epoch) {
        abandonTakeover(step, holderSetOf(base.value));
        return;
    }
    takeover.base = base;
    addSet(takeover, holderSetOf(base.value));
    if (state.knownSet !== undefined) {
        addSet(takeover, state.knownSet);
    }
    takeover.stage = "promising";
    takeover.releaseRequested = [];
    state.promisedEpoch = Math.max(state.promisedEpoch, base.value.epoch);
    state.copies.forEach(copy => addCopy(takeover, copy));
    requestPromises(step, takeover);
    advanceTakeover(step, takeover);
    if (state.takeover === takeover && takeover.stage === "promising") {
        scheduleRetry(step, takeover);
    }
}

/**
 * Adds a holder set to those whose standbys must promise. A newer set does not replace an older one, because the
 * holder that reported it may have recorded a change that the owner never completed.
 */
function addSet(takeover: Takeover, set: HolderSet): boolean {
    if (takeover.base === undefined || set.epoch !== takeover.base.value.epoch) {
        return false;
    }
    const isListed = takeover.sets.some(other => other.change === set.change);
    takeover.sets = isListed ? takeover.sets : [...takeover.sets, set].sort((left, right) => right.change - left.change);
    const added = set.standbys.filter(standby => !takeover.required.some(other => isSameHolder(other, standby)));
    takeover.required = [...takeover.required, ...added];
    return added.length > 0;
}

function addCopy(takeover: Takeover, copy: ShardEntry): void {
    takeover.copies.set(copy.key, newerEntry(takeover.copies.get(copy.key), copy));
}

function requestPromises(step: Step, takeover: Takeover): void {
    const { state } = step;
    const epoch = takeover.base?.value.epoch ?? 0;
    for (const standby of takeover.required) {
        if (isSameHolder(standby, state.options.self)) {
            takeover.promised.set(holderKey(standby), state.agreed);
        }
        else if (!takeover.promised.has(holderKey(standby)) && !state.gone.has(holderKey(standby))) {
            step.effects.push({ type: "call", to: standby, request: { type: "promise", epoch } });
        }
    }
}

/** Handles a reply to `promise`, `release` or `query`. */
export function handleTakeoverReply(
    step: Step,
    takeover: Takeover,
    to: Holder,
    request: Extract<PeerRequest, { type: "promise" | "release" | "query"; }>,
    reply: PeerReply | undefined,
): void {
    if (takeover.base?.value.epoch !== request.epoch) {
        return;
    }
    reply?.copies?.forEach(copy => addCopy(takeover, copy));
    const hasNewStandbys = reply?.newest !== undefined && addSet(takeover, reply.newest);
    if (hasNewStandbys) {
        restartPromises(step, takeover);
    }
    if (reply?.newest !== undefined && reply.newest.epoch > request.epoch) {
        abandonTakeover(step, reply.newest);
        return;
    }
    if (request.type === "query") {
        recordQueryReply(takeover, to, reply);
    }
    else if (reply?.ok === true && isSameHolder(reply.holder, to)) {
        takeover.isReleased ||= request.type === "release";
        takeover.promised.set(holderKey(to), reply.agreed);
    }
    else {
        checkTermination(step, to, reply);
    }
    advanceTakeover(step, takeover);
}

/** Requests promises again after new standbys were found; in the stage `reading` this happens anyway after the read. */
function restartPromises(step: Step, takeover: Takeover): void {
    takeover.previousAnswers = undefined;
    if (takeover.stage !== "reading" && takeover.stage !== "writing") {
        takeover.stage = "promising";
        requestPromises(step, takeover);
        scheduleRetry(step, takeover);
    }
}

function recordQueryReply(takeover: Takeover, to: Holder, reply: PeerReply | undefined): void {
    if (reply?.ok === true) {
        takeover.answers.set(to.host, reply.holder.incarnation);
    }
}

/** Advances a takeover as far as the replies so far allow. */
export function advanceTakeover(step: Step, takeover: Takeover): void {
    if (takeover.stage === "promising") {
        advancePromises(step, takeover);
    }
    else if (takeover.stage === "querying") {
        advanceQuery(step, takeover);
    }
}

function advancePromises(step: Step, takeover: Takeover): void {
    const { state } = step;
    const { base } = takeover;
    if (base === undefined) {
        return;
    }
    if (!isRuleEnabled(state, "promises") || takeover.isReleased) {
        claimOwnership(step, takeover, base);
        return;
    }
    const isPending = (standby: Holder): boolean =>
        !takeover.promised.has(holderKey(standby)) && !state.gone.has(holderKey(standby));
    if (takeover.required.some(isPending)) {
        return;
    }
    const lostSet = findLostSet(state, takeover, base.value);
    if (lostSet === undefined) {
        claimOwnership(step, takeover, base);
    }
    else {
        requestRelease(step, takeover, lostSet.owner);
    }
}

/**
 * Finds a set that may be in effect although none of its standbys is left to promise. A promise from a standby that
 * had agreed to the set is sufficient: the standby holds every copy of the set. A newer set with a standby that
 * promised without having agreed never took effect, so the next older set is examined.
 */
function findLostSet(state: ShardState, takeover: Takeover, stored: HolderSet): HolderSet | undefined {
    for (const set of takeover.sets) {
        const promised = set.standbys.filter(standby => takeover.promised.has(holderKey(standby)));
        const isStored = set.change <= stored.change || !isRuleEnabled(state, "agreedPromise");
        const hasAgreed = promised.some(standby => {
            const agreed = takeover.promised.get(holderKey(standby));
            return agreed !== undefined && !isNewerSet(set, agreed);
        });
        if (hasAgreed || (isStored && (promised.length > 0 || set.standbys.length === 0))) {
            return undefined;
        }
        if (promised.length === 0) {
            return set;
        }
    }
    return undefined;
}

function requestRelease(step: Step, takeover: Takeover, owner: Holder): void {
    const { state } = step;
    const epoch = takeover.base?.value.epoch ?? 0;
    if (isSameHolder(owner, state.options.self)) {
        // This process is no longer the owner or never was; once released, a later handover in this epoch has no effect.
        state.releasedEpoch = epoch;
        takeover.isReleased = true;
        claimOwnership(step, takeover, takeover.base);
    }
    else if (!state.gone.has(holderKey(owner))) {
        if (!takeover.releaseRequested.includes(holderKey(owner))) {
            takeover.releaseRequested = [...takeover.releaseRequested, holderKey(owner)];
            step.effects.push({ type: "call", to: owner, request: { type: "release", epoch } });
        }
    }
    else if (isRuleEnabled(state, "queryAllHosts")) {
        takeover.stage = "listing";
        takeover.isLastResort = true;
        scheduleRetry(step, takeover);
        step.effects.push({ type: "listHosts" });
    }
    else {
        takeover.isLastResort = true;
        claimOwnership(step, takeover, takeover.base);
    }
}

/** Queries all hosts that the cloud API does not report as terminated. */
export function handleHosts(step: Step, takeover: Takeover, hosts: readonly string[] | undefined): void {
    const { state } = step;
    if (takeover.stage !== "listing") {
        return;
    }
    if (hosts === undefined) {
        scheduleRetry(step, takeover);
        return;
    }
    takeover.stage = "querying";
    scheduleRetry(step, takeover);
    takeover.hosts = hosts.filter(host => host !== state.options.self.host);
    takeover.answers = new Map();
    const epoch = takeover.base?.value.epoch ?? 0;
    for (const host of takeover.hosts) {
        const member: Candidate | undefined = state.members.find(candidate => candidate.host === host);
        const to = { host, incarnation: member?.incarnation ?? "0" } as Holder;
        step.effects.push({ type: "call", to, request: { type: "query", epoch } });
    }
    advanceTakeover(step, takeover);
}

/**
 * Ends the last-resort query after two rounds in which the same processes replied. One round is not enough: a host may
 * hand the shard over to a new or restarted host after that one was queried, and then restart itself.
 */
function advanceQuery(step: Step, takeover: Takeover): void {
    const isComplete = takeover.hosts.every(host => takeover.answers.has(host));
    if (!isComplete) {
        return;
    }
    const previous = takeover.previousAnswers;
    const isStable = previous !== undefined &&
        [...takeover.answers].every(([host, incarnation]) => previous.get(host) === incarnation);
    if (isStable) {
        claimOwnership(step, takeover, takeover.base);
        return;
    }
    takeover.previousAnswers = takeover.answers;
    takeover.stage = "listing";
    scheduleRetry(step, takeover);
    step.effects.push({ type: "listHosts" });
}
