import type { HostId, Incarnation } from "@filbertrelay/kernel";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { MembershipMessage, PublishedValue } from "./message.js";
import type { SpreadQueue } from "./queue.js";
import type { MemberDetails, MemberRecord } from "./record.js";

/** Times in milliseconds and sizes of the membership protocol. */
export interface MembershipTiming {
    /** One peer is probed in each period. */
    readonly periodMs: number;
    /** How long a direct probe waits before helpers are asked. */
    readonly directTimeoutMs: number;
    /** How many helpers probe a peer that did not answer directly. */
    readonly helpers: number;
    /** How many peers hear of an urgent change at once. */
    readonly fanout: number;
    readonly syncIntervalMs: number;
    /** Bytes of changes that travel with one message. */
    readonly piggybackBytes: number;
    /** How long a dead member is remembered; longer than a partition between regions lasts. */
    readonly deadRetentionMs: number;
    /** A tick that comes later than this shows that this process was paused. */
    readonly pauseMs: number;
}

/** The timing for a probe period. */
export function createMembershipTiming(periodMs: number): MembershipTiming {
    return {
        periodMs,
        directTimeoutMs: periodMs / 2,
        helpers: 3,
        fanout: 3,
        syncIntervalMs: 10 * periodMs,
        piggybackBytes: 500,
        deadRetentionMs: 7_200_000,
        pauseMs: Math.max(150, 0.6 * periodMs),
    };
}

/** A probe that waits for its answer. */
export interface Probe {
    readonly target: HostId;
    readonly startedMs: number;
    readonly stage: "direct" | "indirect";
    readonly deadlineMs: number;
    /** Whether a helper answered that it could not reach the target either. */
    readonly hasNack: boolean;
}

/** A probe made for another host. */
export interface RelayedProbe {
    readonly requester: HostId;
    readonly requesterSequence: number;
    readonly deadlineMs: number;
}

/** A member that is suspected to be dead, by this node or by others. */
export interface Suspicion {
    readonly sinceMs: number;
    /** Whether this node's own probes failed. Only such a node declares the member dead soon, since it alone asks the member to refute. */
    readonly isAccuser: boolean;
    /** When an accuser tells others; until then any message of the member ends the suspicion. */
    readonly publicMs: number;
    readonly deadlineMs: number;
    readonly nextPingMs: number;
}

/** Everything that one node knows; replaced, never changed, by each step. */
export interface MembershipState {
    readonly self: HostId;
    readonly timing: MembershipTiming;
    /** All members, this node and dead ones included. */
    readonly members: ReadonlyMap<HostId, MemberRecord>;
    /** Published values by name and host. */
    readonly values: ReadonlyMap<string, PublishedValue>;
    readonly queue: SpreadQueue;
    readonly probes: ReadonlyMap<number, Probe>;
    readonly relays: ReadonlyMap<number, RelayedProbe>;
    readonly suspicions: ReadonlyMap<HostId, Suspicion>;
    /** Members that a peer holds for dead although this node does not; each is told so that it can refute. */
    readonly accused: ReadonlyMap<HostId, MemberRecord>;
    readonly deadSinceMs: ReadonlyMap<HostId, number>;
    /** 0 when this node's own probes work; timeouts grow with it, since a node that misses many answers is probably slow itself. */
    readonly slowness: number;
    /** Whether a change waits to be sent to several peers at the next tick. */
    readonly isUrgent: boolean;
    readonly isStopped: boolean;
    readonly configurationVersion: number;
    readonly sequence: number;
    readonly lastTickMs: number;
    readonly nextProbeMs: number;
    readonly nextSyncMs: number;
    /** Never advanced in place; a step clones it. */
    readonly random: RandomGenerator;
}

/** What happens to a node. */
export type MembershipInput =
    /** Time passed; `round` is the number of the current probe period by wall-clock time. */
    | { readonly kind: "tick"; readonly nowMs: number; readonly round: number; }
    | { readonly kind: "message"; readonly nowMs: number; readonly from: HostId; readonly message: MembershipMessage; }
    /** Asks a host for all its records. */
    | { readonly kind: "join"; readonly nowMs: number; readonly host: HostId; }
    | { readonly kind: "leave"; readonly nowMs: number; }
    /** The process ends; the others need not find out by probing. */
    | { readonly kind: "stop"; readonly nowMs: number; }
    | {
        readonly kind: "publish";
        readonly nowMs: number;
        readonly name: string;
        readonly value: unknown;
        readonly version: number;
    }
    | { readonly kind: "configuration"; readonly nowMs: number; readonly version: number; };

/** What a node does in answer to an input. */
export type MembershipEffect =
    | { readonly kind: "send"; readonly to: HostId; readonly message: MembershipMessage; }
    /** A member is new or its incarnation, state or address changed. */
    | { readonly kind: "changed"; readonly record: MemberRecord; }
    /** A dead member is no longer remembered. */
    | { readonly kind: "forgotten"; readonly hostId: HostId; }
    /** Another process with this host id runs under a newer incarnation. */
    | { readonly kind: "superseded"; readonly incarnation: Incarnation; };

/** Creates the state of a node that knows only itself. */
export function createMembershipState(options: {
    readonly self: HostId;
    readonly incarnation: Incarnation;
    readonly details: MemberDetails;
    readonly timing: MembershipTiming;
    readonly nowMs: number;
    readonly seed: number;
}): MembershipState {
    const { self, incarnation, details, timing, nowMs } = options;
    const record: MemberRecord = { hostId: self, incarnation, refutations: 0, isLeaving: false, health: "alive", details };
    const random = xoroshiro128plus(options.seed);
    return {
        self,
        timing,
        members: new Map([[self, record]]),
        values: new Map(),
        queue: new Map(),
        probes: new Map(),
        relays: new Map(),
        suspicions: new Map(),
        accused: new Map(),
        deadSinceMs: new Map(),
        slowness: 0,
        isUrgent: false,
        isStopped: false,
        configurationVersion: 0,
        sequence: 1,
        lastTickMs: nowMs,
        nextProbeMs: nowMs + timing.periodMs * (random.next() >>> 0) / 2 ** 32,
        nextSyncMs: nowMs + timing.syncIntervalMs * (random.next() >>> 0) / 2 ** 32,
        random,
    };
}

/**
 * The share of the suspicion time during which only the accuser knows. A pause of one second ends before it is told to anyone; when it was
 * told at once, one such pause every 30 s per node made 60 nodes spend 12.6 KB/s each on suspicions and refutations.
 */
export const privateShare = 0.4;

/** How long a suspected member has to refute: at 500 ms per period 1.5 s, which outlast a pause of one second, and more in a larger fleet. */
export function suspicionMs(timing: MembershipTiming, fleetSize: number): number {
    return timing.periodMs * (3 + 0.1 * Math.log2(fleetSize + 1));
}
