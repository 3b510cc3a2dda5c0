import type { HostId } from "@filbertrelay/kernel";
import { Draft } from "./draft.js";
import { applyGossip, applyRecords, applyValue, noteSender, storeRecord } from "./gossip.js";
import type { MembershipMessage } from "./message.js";
import {
    checkSuspicions,
    expireProbes,
    expireRelays,
    notifyAccused,
    receiveAck,
    receiveNack,
    relayProbe,
    slownessLimit,
    startProbe,
} from "./probe.js";
import { valueKey } from "./queue.js";
import { describeRecord } from "./record.js";
import type { MembershipEffect, MembershipInput, MembershipState } from "./state.js";
import { answerSync, finishSync, startSync } from "./sync.js";

// Bounds the burst after a partition of half the fleet has healed.
const notificationsPerTick = 4;
const leaveFanout = 6;

/** The result of one step. */
export interface MembershipStep {
    readonly state: MembershipState;
    readonly effects: readonly MembershipEffect[];
}

/** Handles one input. The function is pure: it changes neither the state nor the input. */
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
            spread(draft, leaveFanout);
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
        spread(draft, leaveFanout);
    }
}

function tick(draft: Draft, round: number): void {
    const { timing, lastTickMs } = draft.state;
    const gapMs = draft.nowMs - lastTickMs;
    draft.assign({ lastTickMs: draft.nowMs });
    if (draft.state.isStopped) {
        return;
    }
    if (gapMs > timing.pauseMs) {
        forgivePause(draft, gapMs);
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
    if (draft.state.isUrgent) {
        spread(draft, timing.fanout);
    }
    if (draft.nowMs >= draft.state.nextSyncMs) {
        draft.assign({ nextSyncMs: draft.nowMs + timing.syncIntervalMs });
        syncWithOne(draft);
    }
    forgetDead(draft);
}

// After a pause the answers of others lie unread in this process's sockets, so nobody may be accused for being late.
function forgivePause(draft: Draft, gapMs: number): void {
    draft.clear("probes");
    for (const [hostId, suspicion] of draft.state.suspicions) {
        draft.set("suspicions", hostId, {
            ...suspicion,
            deadlineMs: suspicion.deadlineMs + gapMs,
            publicMs: suspicion.publicMs + gapMs,
        });
    }
    draft.assign({
        nextProbeMs: draft.nowMs + draft.draw(draft.state.timing.periodMs),
        slowness: Math.min(slownessLimit, draft.state.slowness + 1),
    });
}

function receive(draft: Draft, from: HostId, message: MembershipMessage): void {
    if (message.kind === "syncReply") {
        finishSync(draft, from, message);
        return;
    }
    if (message.kind === "push") {
        applyRecords(draft, message.gossip, true);
        return;
    }
    noteSender(draft, from);
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
    const isAccused = message.gossip.updates.some(({ hostId, health }) => hostId === draft.state.self && health !== "alive");
    const refutation = isAccused ? [describeRecord(draft.own)] : [];
    draft.send(from, { kind: "ack", sequence: message.sequence, gossip: draft.takeGossip(from, refutation) });
}

function spread(draft: Draft, count: number): void {
    draft.assign({ isUrgent: false });
    draft.drawMembers(count, ({ health }) => health === "alive").forEach(peer => draft.sendPing(peer));
}

// Every second exchange goes to a dead member, which answers if it was declared dead in a partition that has healed.
function syncWithOne(draft: Draft): void {
    const isDeadTried = draft.state.deadSinceMs.size > 0 && draft.draw(2) === 0;
    const [peer] = draft.drawMembers(1, ({ health }) => isDeadTried ? health === "dead" : health === "alive");
    if (peer !== undefined) {
        startSync(draft, peer, false);
    }
}

function forgetDead(draft: Draft): void {
    for (const [hostId, sinceMs] of draft.state.deadSinceMs) {
        if (draft.nowMs - sinceMs < draft.state.timing.deadRetentionMs) {
            continue;
        }
        draft.delete("deadSinceMs", hostId);
        draft.delete("members", hostId);
        draft.effects.push({ kind: "forgotten", hostId });
    }
}
