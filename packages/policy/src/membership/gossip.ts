import type { HostId } from "@filbertrelay/kernel";
import type { Draft } from "./draft.js";
import type { Gossip, PublishedValue } from "./message.js";
import { valueKey } from "./queue.js";
import { compareIncarnations, mergeRecords, visibleState } from "./record.js";
import type { MemberHealth, MemberRecord, MemberUpdate } from "./record.js";
import { suspicionTimeoutMs } from "./state.js";

/** Applies the changes piggybacked on a message. */
export function applyGossip(draft: Draft, gossip: Gossip): void {
    gossip.updates.forEach(update => applyUpdate(draft, update));
    gossip.values.forEach(value => receiveValue(draft, value));
}

/**
 * Applies the records of an anti-entropy exchange. A dead record is only a claim here, since it may come from the other side of a healed
 * partition; the member is notified so that it can refute. Without `isForwarded` the records are not broadcast further.
 */
export function applySyncRecords(draft: Draft, gossip: Gossip, isForwarded: boolean): void {
    const { queue, hasUrgentChange } = draft.state;
    const { own } = draft;
    for (const update of gossip.updates) {
        const known = draft.state.members.get(update.hostId);
        const isClaim = update.health === "dead" && update.hostId !== draft.state.self && known !== undefined &&
            known.health !== "dead" && known.incarnation === update.incarnation;
        if (isClaim) {
            draft.set("accused", update.hostId, { ...known, refutations: update.refutations, health: "dead" });
        }
        else {
            applyUpdate(draft, update);
        }
    }
    gossip.values.forEach(value => receiveValue(draft, value));
    if (!isForwarded) {
        draft.restoreQueue(queue);
        draft.assign({ hasUrgentChange });
    }
    if (draft.own !== own) {
        draft.enqueueMember(draft.own);
        draft.assign({ hasUrgentChange: true });
    }
}

/** Clears a suspicion that was not announced yet, since the member has just sent a message. */
export function clearUnannouncedSuspicion(draft: Draft, hostId: HostId): void {
    if (draft.state.suspicions.has(hostId) && draft.state.members.get(hostId)?.health === "alive") {
        draft.delete("suspicions", hostId);
    }
}

/** Sets a member's health as determined by this node's own probes or timers. */
export function setHealth(draft: Draft, hostId: HostId, health: MemberHealth): void {
    const record = draft.state.members.get(hostId);
    if (record !== undefined && record.health !== health) {
        storeRecord(draft, { ...record, health });
    }
}

/** Stores and broadcasts a member's value if it is newer than the known one and the member is not dead. */
export function applyValue(draft: Draft, value: PublishedValue): void {
    const host = draft.state.members.get(value.host);
    if (host === undefined || host.health === "dead") {
        return;
    }
    const key = valueKey(value.name, value.host);
    const known = draft.state.values.get(key);
    if (known === undefined || known.version < value.version) {
        draft.set("values", key, value);
        draft.enqueueValue(value);
    }
}

// An earlier process of this host with a faster clock may have published a higher version; this process must exceed it.
function receiveValue(draft: Draft, value: PublishedValue): void {
    if (value.host !== draft.state.self) {
        applyValue(draft, value);
        return;
    }
    const own = draft.state.values.get(valueKey(value.name, value.host));
    if (own !== undefined && own.version < value.version) {
        applyValue(draft, { ...own, version: value.version + 1 });
    }
}

/** Stores and broadcasts a member's record and updates the timers that depend on it. */
export function storeRecord(draft: Draft, record: MemberRecord): void {
    const previous = draft.state.members.get(record.hostId);
    draft.set("members", record.hostId, record);
    draft.enqueueMember(record);
    draft.assign({ hasUrgentChange: true });
    updateTimers(draft, record);
    if (
        previous === undefined || previous.incarnation !== record.incarnation || visibleState(previous) !== visibleState(record)
    ) {
        draft.effects.push({ kind: "changed", record });
    }
}

function applyUpdate(draft: Draft, update: MemberUpdate): void {
    if (update.hostId === draft.state.self) {
        refute(draft, update);
        return;
    }
    const known = draft.state.members.get(update.hostId);
    if (known === undefined) {
        // An unknown dead member needs no record; a member without details can't be reached.
        if (update.details !== undefined && update.health !== "dead") {
            storeRecord(draft, { ...update, details: update.details });
        }
        return;
    }
    const merged = mergeRecords(known, update);
    if (merged !== known) {
        storeRecord(draft, merged);
    }
}

function refute(draft: Draft, update: MemberUpdate): void {
    const { own } = draft;
    if (update.incarnation !== own.incarnation) {
        if (compareIncarnations(update.incarnation, own.incarnation) > 0) {
            draft.effects.push({ kind: "superseded", incarnation: update.incarnation });
        }
        return;
    }
    if (update.health !== "alive" && update.refutations >= own.refutations && !draft.state.isStopped) {
        storeRecord(draft, { ...own, refutations: update.refutations + 1 });
        // Other nodes drop the values of a member that they consider dead.
        if (update.health === "dead") {
            [...draft.state.values.values()].filter(value => value.host === own.hostId).forEach(value =>
                draft.enqueueValue(value)
            );
        }
    }
}

function updateTimers(draft: Draft, record: MemberRecord): void {
    const { hostId, health } = record;
    draft.delete("accused", hostId);
    if (health !== "suspect") {
        draft.delete("suspicions", hostId);
    }
    else if (!draft.state.suspicions.has(hostId)) {
        // Ten times the timeout of a node that detected the failure: this node decides only if all of those have gone.
        const deadlineMs = draft.nowMs + 10 * suspicionTimeoutMs(draft.state.timing, draft.fleetSize);
        const { nowMs } = draft;
        draft.set("suspicions", hostId, {
            sinceMs: nowMs,
            isDetectedLocally: false,
            announceAtMs: nowMs,
            deadlineMs,
            nextPingMs: Infinity,
        });
    }
    if (health !== "dead") {
        draft.delete("deadSinceMs", hostId);
    }
    else if (!draft.state.deadSinceMs.has(hostId)) {
        draft.set("deadSinceMs", hostId, draft.nowMs);
        [...draft.state.values].filter(([, value]) => value.host === hostId).forEach(([key]) => draft.delete("values", key));
    }
}
