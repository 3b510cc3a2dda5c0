import type { HostId } from "@filbertrelay/kernel";
import { Draft } from "./draft.js";
import { applyGossip, applySyncRecords, applyValue, clearUnannouncedSuspicion, storeRecord } from "./gossip.js";
import type { MembershipMessage } from "./message.js";
import {
    checkSuspicions,
    expireProbes,
    expireRelays,
    maxLocalHealthScore,
    notifyAccused,
    receiveAck,
    receiveNack,
    relayProbe,
    startProbe,
} from "./probe.js";
import { valueKey } from "./queue.js";
import { createUpdate } from "./record.js";
import type { MembershipEffect, MembershipInput, MembershipState } from "./state.js";
import { answerSync, finishSync, startSync } from "./sync.js";

// Limits the burst of messages after a partition of half the fleet has healed.
const notificationsPerTick = 4;
const leaveFanout = 6;

/** The result of one step. */
export interface MembershipStep {
    readonly state: MembershipState;
    readonly effects: readonly MembershipEffect[];
}

/** Handles one input. Pure: modifies neither the state nor the input. */
export function stepMembership(state: MembershipState, input: MembershipInput): MembershipStep {
    const draft = new Draft(state, input.nowMs);
    handleInput(draft, input);
    return { state: draft.state, effects: draft.effects };
}

function handleInput(draft: Draft, input: MembershipInput): void {
    switch (input.kind) {
        case "tick":
            tick(draft, input.round);
            break;
        case "message":
            receive(draft, input.from, input.message);
            break;
        case "join":
            startSync(draft, input.host, true);
            break;
        case "leave":
            leave(draft);
            break;
        case "stop":
            draft.assign({ isStopped: true });
            storeRecord(draft, { ...draft.own, health: "dead" });
            sendGossip(draft, leaveFanout);
            break;
        case "publish":
            publish(draft, input);
            break;
        case "configuration":
            draft.assign({ configurationVersion: Math.max(draft.state.configurationVersion, input.version) });
            break;
    }
}

function publish(draft: Draft, { name, value, version }: MembershipInput & { readonly kind: "publish"; }): void {
    const host = draft.state.self;
    const known = draft.state.values.get(valueKey(name, host));
    applyValue(draft, { name, host, value, version: Math.max(version, (known?.version ?? 0) + 1) });
}

function leave(draft: Draft): void {
    if (!draft.own.isLeaving) {
        storeRecord(draft, { ...draft.own, isLeaving: true });
        sendGossip(draft, leaveFanout);
    }
}

function tick(draft: Draft, round: number): void {
    const { timing, lastTickMs } = draft.state;
    const gapMs = draft.nowMs - lastTickMs;
    draft.assign({ lastTickMs: draft.nowMs });
    if (draft.state.isStopped) {
        return;
    }
    if (gapMs > timing.pauseThresholdMs) {
        recoverFromPause(draft, gapMs);
        return;
    }
    expireRelays(draft);
    expireProbes(draft);
    checkSuspicions(draft);
    notifyAccused(draft, notificationsPerTick);
    if (draft.nowMs >= draft.state.nextProbeMs) {
        draft.assign({ nextProbeMs: Math.max(draft.state.nextProbeMs + timing.periodMs, draft.nowMs) });
        startProbe(draft, round);
    }
    if (draft.state.hasUrgentChange) {
        sendGossip(draft, timing.fanout);
    }
    if (draft.nowMs >= draft.state.nextSyncMs) {
        draft.assign({ nextSyncMs: draft.nowMs + timing.syncIntervalMs });
        syncWithRandomMember(draft);
    }
    removeExpiredMembers(draft);
}

// After a pause of this process, replies may be waiting unread in its sockets, so late replies must not raise suspicions.
function recoverFromPause(draft: Draft, gapMs: number): void {
    draft.clear("probes");
    for (const [hostId, suspicion] of draft.state.suspicions) {
        draft.set("suspicions", hostId, {
            ...suspicion,
            deadlineMs: suspicion.deadlineMs + gapMs,
            announceAtMs: suspicion.announceAtMs + gapMs,
        });
    }
    draft.assign({
        nextProbeMs: draft.nowMs + draft.randomInteger(draft.state.timing.periodMs),
        localHealthScore: Math.min(maxLocalHealthScore, draft.state.localHealthScore + 1),
    });
}

function receive(draft: Draft, from: HostId, message: MembershipMessage): void {
    if (message.kind === "syncReply") {
        finishSync(draft, from, message);
        return;
    }
    if (message.kind === "push") {
        applySyncRecords(draft, message.gossip, true);
        return;
    }
    clearUnannouncedSuspicion(draft, from);
    applyGossip(draft, message.gossip);
    switch (message.kind) {
        case "ping":
            answerPing(draft, from, message);
            break;
        case "ack":
            receiveAck(draft, message.sequence);
            break;
        case "nack":
            receiveNack(draft, message.sequence);
            break;
        case "pingRequest":
            relayProbe(draft, from, message);
            break;
        case "sync":
            answerSync(draft, from, message);
            break;
    }
}

function answerPing(draft: Draft, from: HostId, message: MembershipMessage & { readonly kind: "ping"; }): void {
    const needsRefutation = message.gossip.updates.some(({ hostId, health }) =>
        hostId === draft.state.self && health !== "alive"
    );
    const refutation = needsRefutation ? [createUpdate(draft.own)] : [];
    draft.send(from, { kind: "ack", sequence: message.sequence, gossip: draft.takeGossip(from, refutation) });
}

function sendGossip(draft: Draft, count: number): void {
    draft.assign({ hasUrgentChange: false });
    draft.sampleMembers(count, ({ health }) => health === "alive").forEach(peer => draft.sendPing(peer));
}

// Half of the exchanges go to a dead member, which replies if it was declared dead in a partition that has healed.
function syncWithRandomMember(draft: Draft): void {
    const samplesDead = draft.state.deadSinceMs.size > 0 && draft.randomInteger(2) === 0;
    const [peer] = draft.sampleMembers(1, ({ health }) => samplesDead ? health === "dead" : health === "alive");
    if (peer !== undefined) {
        startSync(draft, peer, false);
    }
}

function removeExpiredMembers(draft: Draft): void {
    for (const [hostId, sinceMs] of draft.state.deadSinceMs) {
        if (draft.nowMs - sinceMs < draft.state.timing.deadRetentionMs) {
            continue;
        }
        draft.delete("deadSinceMs", hostId);
        draft.delete("members", hostId);
        draft.effects.push({ kind: "forgotten", hostId });
    }
}
