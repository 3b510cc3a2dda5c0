import type { HostId } from "@filbertrelay/kernel";
import type { Draft } from "./draft.js";
import type { Gossip, PublishedValue } from "./message.js";
import { valueKey } from "./queue.js";
import { compareIncarnations, mergeRecords, visibleState } from "./record.js";
import type { MemberHealth, MemberRecord, MemberUpdate } from "./record.js";
import { suspicionMs } from "./state.js";

/** Applies the changes that came with a message. */
export function applyGossip(draft: Draft, gossip: Gossip): void {
    gossip.updates.forEach(update => applyUpdate(draft, update));
    gossip.values.forEach(value => receiveValue(draft, value));
}

/**
 * Applies records of an anti-entropy exchange. A record that says dead is only a claim there: it may come from the other side of a partition
 * that has healed, so the member is told of it and can refute. Without `isSpread` the records are not passed on.
 */
export function applyRecords(draft: Draft, gossip: Gossip, isSpread: boolean): void {
    const { queue, isUrgent } = draft.state;
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
    if (!isSpread) {
        draft.restoreQueue(queue);
        draft.assign({ isUrgent });
    }
    if (draft.own !== own) {
        draft.spreadMember(draft.own);
        draft.assign({ isUrgent: true });
    }
}

/** Ends a suspicion that only this node knows of, because the member sent a message. */
export function noteSender(draft: Draft, hostId: HostId): void {
    if (draft.state.suspicions.has(hostId) && draft.state.members.get(hostId)?.health === "alive") {
        draft.delete("suspicions", hostId);
    }
}

/** Marks a member after this node's own probes or timers decided. */
export function judgeMember(draft: Draft, hostId: HostId, health: MemberHealth): void {
    const record = draft.state.members.get(hostId);
    if (record !== undefined && record.health !== health) {
        storeRecord(draft, { ...record, health });
    }
}

/** Keeps a live member's value when it is newer than the known one, and spreads it. */
export function applyValue(draft: Draft, value: PublishedValue): void {
    const host = draft.state.members.get(value.host);
    if (host === undefined || host.health === "dead") {
        return;
    }
    const key = valueKey(value.name, value.host);
    const known = draft.state.values.get(key);
    if (known === undefined || known.version < value.version) {
        draft.set("values", key, value);
        draft.spreadValue(value);
    }
}

// A former process of this host with a faster clock may have published under a higher version; this process must get above it.
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

/** Stores a member's record, spreads it and keeps the timers that follow from it. */
export function storeRecord(draft: Draft, record: MemberRecord): void {
    const former = draft.state.members.get(record.hostId);
    draft.set("members", record.hostId, record);
    draft.spreadMember(record);
    draft.assign({ isUrgent: true });
    updateTimers(draft, record);
    if (former === undefined || former.incarnation !== record.incarnation || visibleState(former) !== visibleState(record)) {
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
        // A dead member that this node never knew needs no record; one without details can't be reached.
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
        // Others drop the values of a member that they hold for dead.
        if (update.health === "dead") {
            [...draft.state.values.values()].filter(value => value.host === own.hostId).forEach(value =>
                draft.spreadValue(value)
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
        // Ten times the accuser's time: a node that only heard of the suspicion decides when all accusers have gone.
        const deadlineMs = draft.nowMs + 10 * suspicionMs(draft.state.timing, draft.fleetSize);
        const { nowMs } = draft;
        draft.set("suspicions", hostId, { sinceMs: nowMs, isAccuser: false, publicMs: nowMs, deadlineMs, nextPingMs: Infinity });
    }
    if (health !== "dead") {
        draft.delete("deadSinceMs", hostId);
    }
    else if (!draft.state.deadSinceMs.has(hostId)) {
        draft.set("deadSinceMs", hostId, draft.nowMs);
        [...draft.state.values].filter(([, value]) => value.host === hostId).forEach(([key]) => draft.delete("values", key));
    }
}
