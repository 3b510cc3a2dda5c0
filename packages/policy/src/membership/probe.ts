import type { HostId } from "@filbertrelay/kernel";
import { hashText } from "../rendezvous.js";
import type { Draft } from "./draft.js";
import { judgeMember } from "./gossip.js";
import { describeRecord } from "./record.js";
import type { MemberRecord } from "./record.js";
import type { MembershipState } from "./state.js";
import { privateShare, suspicionMs } from "./state.js";

/** The highest slowness; timeouts are then five times as long. */
export const slownessLimit = 4;
// A helper reports before the requester's own deadline, so that its report counts.
const relayTimeoutShare = 0.6;
const nackAllowanceShare = 0.4;

const probeOrders = new WeakMap<MembershipState["members"], readonly HostId[]>();

/**
 * Chooses the peer to probe in a round. All nodes step through the sorted members by one offset that is random per round, so that nodes with
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
    const deadlineMs = draft.nowMs + draft.state.timing.directTimeoutMs * (1 + draft.state.slowness);
    draft.set("probes", sequence, { target, startedMs: draft.nowMs, stage: "direct", deadlineMs, hasNack: false });
    draft.send(target, { kind: "ping", sequence, gossip: draft.takeGossip(target) });
}

/** Asks helpers for overdue direct probes and accuses the targets of overdue indirect ones. */
export function expireProbes(draft: Draft): void {
    const { timing, slowness } = draft.state;
    const indirectMs = timing.directTimeoutMs * (1 + nackAllowanceShare);
    for (const [sequence, probe] of draft.state.probes) {
        if (draft.nowMs < probe.deadlineMs) {
            continue;
        }
        if (probe.stage === "direct") {
            const deadlineMs = Math.max(draft.nowMs + indirectMs, probe.startedMs + timing.periodMs * (1 + slowness));
            draft.set("probes", sequence, { ...probe, stage: "indirect", deadlineMs });
            askHelpers(draft, sequence, probe.target);
        }
        else {
            draft.delete("probes", sequence);
            if (!probe.hasNack) {
                draft.assign({ slowness: Math.min(slownessLimit, draft.state.slowness + 1) });
            }
            accuse(draft, probe.target);
        }
    }
}

function askHelpers(draft: Draft, sequence: number, target: HostId): void {
    const helpers = draft.drawMembers(
        draft.state.timing.helpers,
        ({ hostId, health }) => hostId !== target && health === "alive",
    );
    for (const helper of helpers) {
        draft.send(helper, { kind: "pingRequest", sequence, target, gossip: draft.takeGossip(helper) });
    }
}

/** Probes a target for another node. */
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

/** Tells requesters whose target did not answer. */
export function expireRelays(draft: Draft): void {
    for (const [sequence, relay] of draft.state.relays) {
        if (draft.nowMs >= relay.deadlineMs) {
            draft.delete("relays", sequence);
            const gossip = draft.takeGossip(relay.requester);
            draft.send(relay.requester, { kind: "nack", sequence: relay.requesterSequence, gossip });
        }
    }
}

/** Matches an answer with the probe or relayed probe that waits for it. */
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
        draft.assign({ slowness: Math.max(0, draft.state.slowness - 1) });
    }
}

/** Notes that a helper answered although its probe failed. */
export function receiveNack(draft: Draft, sequence: number): void {
    const probe = draft.state.probes.get(sequence);
    if (probe !== undefined) {
        draft.set("probes", sequence, { ...probe, hasNack: true });
    }
}

function accuse(draft: Draft, target: HostId): void {
    const record = draft.state.members.get(target);
    if (record === undefined || record.health === "dead") {
        return;
    }
    const known = draft.state.suspicions.get(target);
    const sinceMs = known?.sinceMs ?? draft.nowMs;
    const { timing, slowness } = draft.state;
    const pauseMs = suspicionMs(timing, draft.fleetSize) * (1 + slowness / slownessLimit);
    const publicMs = known?.publicMs ?? draft.nowMs + privateShare * pauseMs;
    // A node that had heard of the suspicion before counts from then, but gives its own request to refute one direct timeout.
    const deadlineMs = Math.max(sinceMs + pauseMs, draft.nowMs + timing.directTimeoutMs);
    draft.set("suspicions", target, { sinceMs, isAccuser: true, publicMs, deadlineMs, nextPingMs: draft.nowMs });
}

/** Asks suspected members to refute and declares those dead that had long enough. */
export function checkSuspicions(draft: Draft): void {
    for (const [hostId, suspicion] of draft.state.suspicions) {
        if (draft.nowMs >= suspicion.deadlineMs) {
            judgeMember(draft, hostId, "dead");
        }
        else if (draft.nowMs >= suspicion.nextPingMs) {
            draft.set("suspicions", hostId, { ...suspicion, nextPingMs: draft.nowMs + draft.state.timing.directTimeoutMs });
            if (draft.nowMs >= suspicion.publicMs) {
                judgeMember(draft, hostId, "suspect");
            }
            draft.sendPing(hostId);
        }
    }
}

/** Tells members that another node holds them for dead. */
export function notifyAccused(draft: Draft, limit: number): void {
    const notified: [HostId, MemberRecord][] = [...draft.state.accused].slice(0, limit);
    for (const [hostId, claim] of notified) {
        draft.delete("accused", hostId);
        draft.sendPing(hostId, [describeRecord(claim)]);
    }
}
