import type { HostId } from "@filbertrelay/kernel";
import { hashText } from "../rendezvous.js";
import type { Draft } from "./draft.js";
import { setHealth } from "./gossip.js";
import { createUpdate } from "./record.js";
import type { MemberRecord } from "./record.js";
import type { MembershipState } from "./state.js";
import { suspicionTimeoutMs, unannouncedShare } from "./state.js";

/** The upper bound of `localHealthScore`, at which probe timeouts are five times as long. */
export const maxLocalHealthScore = 4;
// A helper's nack must arrive before the requester's own deadline.
const relayTimeoutShare = 0.6;
const nackAllowanceShare = 0.4;

const probeOrders = new WeakMap<MembershipState["members"], readonly HostId[]>();

/**
 * Chooses the peer to probe in a round. All nodes apply the same pseudo-random offset per round to the sorted member list, so nodes with
 * equal tables and clocks probe each member exactly once per round. Independent random choices would leave a member
 * unprobed for six rounds with a probability of 1 in 400.
 */
export function chooseTarget(state: MembershipState, round: number): HostId | undefined {
    const order = probeOrders.get(state.members) ?? sortMembers(state);
    const index = order.indexOf(state.self);
    if (order.length < 2 || index < 0) {
        return undefined;
    }
    return order[(index + 1 + hashText(`round ${round}`) % (order.length - 1)) % order.length];
}

function sortMembers(state: MembershipState): readonly HostId[] {
    const order = [...state.members.values()].filter(record => record.health !== "dead").map(record => record.hostId).sort();
    probeOrders.set(state.members, order);
    return order;
}

/** Starts the probe of a round. */
export function startProbe(draft: Draft, round: number): void {
    const target = chooseTarget(draft.state, round);
    if (target === undefined) {
        return;
    }
    const sequence = draft.nextSequence();
    const deadlineMs = draft.nowMs + draft.state.timing.directTimeoutMs * (1 + draft.state.localHealthScore);
    draft.set("probes", sequence, { target, startedMs: draft.nowMs, stage: "direct", deadlineMs, hasNack: false });
    draft.send(target, { kind: "ping", sequence, gossip: draft.takeGossip(target) });
}

/** Requests indirect probes for overdue direct ones, and suspects the targets of overdue indirect ones. */
export function expireProbes(draft: Draft): void {
    const { timing, localHealthScore } = draft.state;
    const indirectMs = timing.directTimeoutMs * (1 + nackAllowanceShare);
    for (const [sequence, probe] of draft.state.probes) {
        if (draft.nowMs < probe.deadlineMs) {
            continue;
        }
        if (probe.stage === "direct") {
            const deadlineMs = Math.max(draft.nowMs + indirectMs, probe.startedMs + timing.periodMs * (1 + localHealthScore));
            draft.set("probes", sequence, { ...probe, stage: "indirect", deadlineMs });
            requestIndirectProbes(draft, sequence, probe.target);
        }
        else {
            draft.delete("probes", sequence);
            if (!probe.hasNack) {
                draft.assign({ localHealthScore: Math.min(maxLocalHealthScore, draft.state.localHealthScore + 1) });
            }
            suspectMember(draft, probe.target);
        }
    }
}

function requestIndirectProbes(draft: Draft, sequence: number, target: HostId): void {
    const helpers = draft.sampleMembers(
        draft.state.timing.helpers,
        ({ hostId, health }) => hostId !== target && health === "alive",
    );
    for (const helper of helpers) {
        draft.send(helper, { kind: "pingRequest", sequence, target, gossip: draft.takeGossip(helper) });
    }
}

/** Probes a target on behalf of another node. */
export function relayProbe(
    draft: Draft,
    requester: HostId,
    request: { readonly sequence: number; readonly target: HostId; },
): void {
    const sequence = draft.nextSequence();
    const deadlineMs = draft.nowMs + relayTimeoutShare * draft.state.timing.directTimeoutMs;
    draft.set("relays", sequence, { requester, requesterSequence: request.sequence, deadlineMs });
    draft.send(request.target, { kind: "ping", sequence, gossip: draft.takeGossip(request.target) });
}

/** Sends a nack for each relayed probe that timed out. */
export function expireRelays(draft: Draft): void {
    for (const [sequence, relay] of draft.state.relays) {
        if (draft.nowMs >= relay.deadlineMs) {
            draft.delete("relays", sequence);
            const gossip = draft.takeGossip(relay.requester);
            draft.send(relay.requester, { kind: "nack", sequence: relay.requesterSequence, gossip });
        }
    }
}

/** Completes the probe or relayed probe that an ack belongs to. */
export function receiveAck(draft: Draft, sequence: number): void {
    const relay = draft.state.relays.get(sequence);
    if (relay !== undefined) {
        draft.delete("relays", sequence);
        draft.send(relay.requester, {
            kind: "ack",
            sequence: relay.requesterSequence,
            gossip: draft.takeGossip(relay.requester),
        });
    }
    if (draft.state.probes.has(sequence)) {
        draft.delete("probes", sequence);
        draft.assign({ localHealthScore: Math.max(0, draft.state.localHealthScore - 1) });
    }
}

/** Records that a helper replied although its own probe failed. */
export function receiveNack(draft: Draft, sequence: number): void {
    const probe = draft.state.probes.get(sequence);
    if (probe !== undefined) {
        draft.set("probes", sequence, { ...probe, hasNack: true });
    }
}

function suspectMember(draft: Draft, target: HostId): void {
    const record = draft.state.members.get(target);
    if (record === undefined || record.health === "dead") {
        return;
    }
    const known = draft.state.suspicions.get(target);
    const sinceMs = known?.sinceMs ?? draft.nowMs;
    const { timing, localHealthScore } = draft.state;
    const timeoutMs = suspicionTimeoutMs(timing, draft.fleetSize) * (1 + localHealthScore / maxLocalHealthScore);
    const announceAtMs = known?.announceAtMs ?? draft.nowMs + unannouncedShare * timeoutMs;
    // A suspicion already known from gossip counts from when it was received, but this node's own ping gets at least one direct timeout.
    const deadlineMs = Math.max(sinceMs + timeoutMs, draft.nowMs + timing.directTimeoutMs);
    draft.set("suspicions", target, { sinceMs, isDetectedLocally: true, announceAtMs, deadlineMs, nextPingMs: draft.nowMs });
}

/** Pings suspected members so that they can refute, and declares those dead whose deadline has passed. */
export function checkSuspicions(draft: Draft): void {
    for (const [hostId, suspicion] of draft.state.suspicions) {
        if (draft.nowMs >= suspicion.deadlineMs) {
            setHealth(draft, hostId, "dead");
        }
        else if (draft.nowMs >= suspicion.nextPingMs) {
            draft.set("suspicions", hostId, { ...suspicion, nextPingMs: draft.nowMs + draft.state.timing.directTimeoutMs });
            if (draft.nowMs >= suspicion.announceAtMs) {
                setHealth(draft, hostId, "suspect");
            }
            draft.sendPing(hostId);
        }
    }
}

/** Notifies members that another node considers dead. */
export function notifyAccused(draft: Draft, limit: number): void {
    const notified: [HostId, MemberRecord][] = [...draft.state.accused].slice(0, limit);
    for (const [hostId, claim] of notified) {
        draft.delete("accused", hostId);
        draft.sendPing(hostId, [createUpdate(claim)]);
    }
}
