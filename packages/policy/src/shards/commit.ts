import { markRecorded } from "./delivery.js";
import { queueSettlement, refuseWaiters, startAttempts } from "./entry.js";
import type { Candidate } from "./message.js";
import { chooseStandbys } from "./placement.js";
import { activeSet, nextToken, scheduleTimer } from "./state.js";
import type { OwnerState, PendingWrite, ShardState, Step } from "./state.js";
import { holderKey, holderSetOf, isNewerIncarnation, isSameHolder } from "./value.js";
import type { Holder, HolderSet, ShardEntry, ShardValue, VersionedValue } from "./value.js";

/** Writes changes to the key-value service: at once if a caller waits and a token is available, else by batch interval. */
export function flushStore(step: Step, owner: OwnerState): void {
    const { state } = step;
    if (owner.mode !== "store" || owner.write !== undefined || owner.readCounter !== undefined) {
        return;
    }
    refillTokens(state, owner);
    const successor = owner.successor ?? (state.isLeaving ? chooseSuccessor(state, owner) : undefined);
    const isUrgent = hasUncommitted(owner) || state.held.size > 0 || successor !== undefined;
    const dueMs = (owner.dirtySinceMs ?? state.nowMs) + state.options.batchIntervalMs;
    if (!isUrgent && owner.dirtySinceMs === undefined && !needsStandbys(state, owner)) {
        return;
    }
    if (owner.tokens < 1) {
        scheduleTimer(step, owner.refilledAtMs + state.options.batchIntervalMs);
    }
    else if (!isUrgent && owner.dirtySinceMs !== undefined && dueMs > state.nowMs) {
        scheduleTimer(step, dueMs);
    }
    else {
        issueWrite(step, owner, successor);
    }
}

function refillTokens(state: ShardState, owner: OwnerState): void {
    const { batchIntervalMs, writeBurst } = state.options;
    const gained = Math.floor((state.nowMs - owner.refilledAtMs) / batchIntervalMs);
    if (gained > 0) {
        owner.tokens = Math.min(writeBurst, owner.tokens + gained);
        owner.refilledAtMs += gained * batchIntervalMs;
    }
}

function hasUncommitted(owner: OwnerState): boolean {
    return [...owner.entries.values()].some(entry => entry.state === "accepted" && entry.revision > owner.storedSequence);
}

/** Returns whether a standby is unusable or another one can be added. */
export function needsStandbys(state: ShardState, owner: OwnerState): boolean {
    const wanted = chooseStandbys(state.options.self, presentMembers(state)).length;
    return owner.standbys.some(standby => !isUsable(state, standby)) || owner.standbys.length < wanted;
}

/** Filters out processes that are proven terminated but still listed by the membership. */
function presentMembers(state: ShardState): Candidate[] {
    return state.members.filter(member => !state.gone.has(holderKey(member)));
}

/** Returns whether a standby can be kept: not leaving, dead or restarted according to the membership. */
export function isUsable(state: ShardState, standby: Holder): boolean {
    const member = state.members.find(candidate => candidate.host === standby.host);
    return member !== undefined && (member.state === "alive" || member.state === "suspect") &&
        !isNewerIncarnation(member.incarnation, standby.incarnation) && !state.gone.has(holderKey(standby));
}

/** Chooses standbys for an owner, keeping the current ones that are usable. */
export function refreshStandbys(state: ShardState, owner: Holder, present: readonly Holder[]): Holder[] {
    const wanted = chooseStandbys(owner, presentMembers(state));
    const kept = present.filter(standby => isUsable(state, standby) && standby.host !== owner.host);
    const added = wanted.filter(standby => !kept.some(other => other.host === standby.host));
    return [...kept, ...added].slice(0, Math.max(wanted.length, kept.length));
}

/** Chooses the host that takes over when this one leaves: a live standby if there is one, else the first live candidate. */
export function chooseSuccessor(state: ShardState, owner: OwnerState): Holder | undefined {
    const live = presentMembers(state).filter(member => member.state === "alive" && member.host !== state.options.self.host);
    const standby = live.find(member => owner.standbys.some(other => isSameHolder(other, member)));
    const chosen = standby ?? live[0];
    return chosen === undefined ? undefined : { host: chosen.host, incarnation: chosen.incarnation };
}

function issueWrite(step: Step, owner: OwnerState, successor: Holder | undefined): void {
    const { state } = step;
    const set = nextSet(state, owner, successor);
    const value = buildValue(state, owner, set);
    owner.highestChange = Math.max(owner.highestChange, set.change);
    owner.tokens -= 1;
    owner.dirtySinceMs = undefined;
    owner.successor = successor;
    owner.write = { token: value.writer, issued: state.counter, value, isUncertain: false };
    step.effects.push({ type: "write", token: value.writer, expectedVersion: owner.version, value });
}

function nextSet(state: ShardState, owner: OwnerState, successor: Holder | undefined): HolderSet {
    const acting = activeSet(state, owner);
    const change = owner.highestChange + 1;
    if (successor !== undefined) {
        return { ...acting, change, owner: successor, standbys: refreshStandbys(state, successor, owner.standbys) };
    }
    // Some holders may have recorded a higher change that was never completed; they accept only a change above it.
    return needsStandbys(state, owner) || owner.highestChange > owner.change ?
        { ...acting, change, standbys: refreshStandbys(state, state.options.self, owner.standbys) } :
        acting;
}

/** Builds the value to write; accepted entries are written as intents, which they become once the write succeeds. */
export function buildValue(state: ShardState, owner: OwnerState, set: HolderSet): ShardValue {
    return {
        ...holderSetOf(set),
        writer: nextToken(state),
        sequence: owner.sequence,
        entries: storedEntries(owner.entries.values()),
        unknownUntilMs: owner.unknownUntilMs,
    };
}

/** Returns the entries in stored form: closed intents are omitted, accepted entries become intents. */
export function storedEntries(entries: Iterable<ShardEntry>): ShardEntry[] {
    return [...entries].filter(entry => entry.state !== "notRun").map(asIntent);
}

/** Converts an entry to the form that is stored or sent: an accepted entry becomes an intent. */
export function asIntent(entry: ShardEntry): ShardEntry {
    return entry.state === "accepted" ? { ...entry, state: "intent" } : entry;
}

/** Handles the outcome of the owner's compare-and-swap. */
export function handleWritten(step: Step, owner: OwnerState, token: string, result: number | "conflict" | "unavailable"): void {
    const write = owner.write;
    if (write?.token !== token || write.isUncertain) {
        return;
    }
    if (typeof result === "number") {
        confirmWrite(step, owner, write, result);
        return;
    }
    owner.write = { ...write, isUncertain: true };
    readBack(step, owner);
}

/** Reads the stored value to resolve a write whose outcome is uncertain. */
export function readBack(step: Step, owner: OwnerState): void {
    if (owner.readCounter === undefined) {
        owner.readCounter = step.state.counter;
        step.effects.push({ type: "read" });
    }
}

function confirmWrite(step: Step, owner: OwnerState, write: PendingWrite, version: number): void {
    const { state } = step;
    owner.write = undefined;
    cancelChange(owner);
    owner.uncertainSets = [];
    owner.droppedStandbys = write.value.change >= owner.highestChange ? [] : owner.droppedStandbys;
    owner.version = version;
    owner.mode = "store";
    state.confirmedCounter = Math.max(state.confirmedCounter, write.issued);
    owner.storedSequence = Math.max(owner.storedSequence, write.value.sequence);
    markRecorded(owner, write.value.sequence);
    startAttempts(step, owner, write.value.sequence);
    removeClosedEntries(owner);
    if (isSameHolder(write.value.owner, state.options.self)) {
        adoptSet(step, owner, write.value);
        dropCopies(step, owner);
        return;
    }
    step.effects.push({ type: "call", to: write.value.owner, request: { type: "activate", set: holderSetOf(write.value) } });
    loseOwnership(step, holderSetOf(write.value));
}

function adoptSet(step: Step, owner: OwnerState, set: HolderSet): void {
    if (set.change < owner.change) {
        owner.dirtySinceMs ??= step.state.nowMs - step.state.options.batchIntervalMs;
        return;
    }
    owner.change = set.change;
    owner.standbys = set.standbys;
    step.state.knownSet = holderSetOf(set);
}

/** Lets standbys drop copies that the key-value service now contains. */
function dropCopies(step: Step, owner: OwnerState): void {
    const set = activeSet(step.state, owner);
    const { storedSequence } = owner;
    const issued = step.state.counter;
    const request = { type: "copy" as const, set, sequence: storedSequence, issued, storedSequence, entries: [] };
    for (const standby of owner.standbys) {
        if (owner.acknowledgements.has(holderKey(standby))) {
            step.effects.push({ type: "call", to: standby, request });
        }
    }
    owner.acknowledgements.clear();
}

function removeClosedEntries(owner: OwnerState): void {
    for (const entry of owner.entries.values()) {
        if (entry.state === "notRun" && entry.revision <= owner.storedSequence) {
            owner.entries.delete(entry.key);
        }
    }
}

/** Compares the stored value with this owner's last write. */
export function handleRead(step: Step, owner: OwnerState, result: VersionedValue | "missing" | "unavailable"): void {
    const issued = owner.readCounter ?? 0;
    owner.readCounter = undefined;
    if (result === "unavailable" || result === "missing") {
        owner.mode = "witness";
        owner.nextReadAtMs = step.state.nowMs + step.state.options.retryMs;
        scheduleTimer(step, owner.nextReadAtMs);
        return;
    }
    const write = owner.write;
    if (write?.token === result.value.writer) {
        confirmWrite(step, owner, write, result.version);
    }
    else if (isSuperseded(owner, result.value)) {
        loseOwnership(step, holderSetOf(result.value));
    }
    else {
        rebase(step, owner, result, issued);
    }
}

/**
 * Cancels a proposed change. Its holders may have recorded it, and a successor that learns of it from them needs
 * only their promises, so they stay required until a later change takes effect.
 */
export function cancelChange(owner: OwnerState): void {
    if (owner.holderChange !== undefined) {
        owner.droppedStandbys = [...owner.droppedStandbys, ...owner.holderChange.set.standbys];
        owner.holderChange = undefined;
    }
}

function isSuperseded(owner: OwnerState, value: ShardValue): boolean {
    return value.epoch !== owner.epoch || value.change > owner.highestChange || isSameHolder(value.owner, owner.successor);
}

/** Continues from the stored value, which is still this owner's: the last write failed, or an earlier one took effect late. */
function rebase(step: Step, owner: OwnerState, read: VersionedValue, issued: number): void {
    if (owner.write !== undefined) {
        owner.uncertainSets = [...owner.uncertainSets, owner.write.value.standbys];
        owner.write = undefined;
    }
    cancelChange(owner);
    step.state.confirmedCounter = Math.max(step.state.confirmedCounter, issued);
    owner.version = read.version;
    owner.mode = "store";
    owner.dirtySinceMs ??= step.state.nowMs - step.state.options.batchIntervalMs;
}

/**
 * Gives up ownership. Entries that were never sent are closed; outcomes that are not stored yet, and those of attempts
 * in progress, are reported to the new owner.
 */
export function loseOwnership(step: Step, successor: HolderSet): void {
    const { state } = step;
    const { owner } = state;
    if (owner === undefined) {
        return;
    }
    state.owner = undefined;
    state.knownSet = successor;
    for (const entry of owner.entries.values()) {
        if (entry.state === "accepted") {
            closeUnsent(step, entry);
        }
        else if (entry.revision > owner.storedSequence) {
            // The caller may already have this outcome, while the successor took over the entry without it.
            queueSettlement(state, entry);
        }
    }
}

function closeUnsent(step: Step, entry: ShardEntry): void {
    const { state } = step;
    state.attempts.delete(entry.intent ?? "");
    if (entry.isRepeat !== true) {
        queueSettlement(state, { ...entry, state: "notRun" });
    }
    refuseWaiters(step, entry, "shard.notOwned");
}
