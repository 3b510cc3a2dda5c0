import type { HostId, Incarnation } from "@filbertrelay/kernel";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { MembershipMessage, PublishedValue } from "./message.js";
import type { BroadcastQueue } from "./queue.js";
import type { MemberDetails, MemberRecord } from "./record.js";

/** Timing and size parameters of the membership protocol. */
export interface MembershipTiming {
    /** The probe period; one peer is probed in each. */
    readonly periodMs: number;
    /** How long a direct probe waits before indirect probes are requested. */
    readonly directTimeoutMs: number;
    /** The number of helpers that probe a peer indirectly after a failed direct probe. */
    readonly helpers: number;
    /** The number of peers to which an urgent change is sent immediately. */
    readonly fanout: number;
    readonly syncIntervalMs: number;
    /** The limit of changes piggybacked on one message, in bytes. */
    readonly piggybackBytes: number;
    /** How long a dead member is kept; longer than a partition between regions lasts. */
    readonly deadRetentionMs: number;
    /** A longer gap between two ticks means that this process was paused. */
    readonly pauseThresholdMs: number;
}

/** Derives the timing from a probe period. */
export function createMembershipTiming(periodMs: number): MembershipTiming {
    return {
        periodMs,
        directTimeoutMs: periodMs / 2,
        helpers: 3,
        fanout: 3,
        syncIntervalMs: 10 * periodMs,
        piggybackBytes: 500,
        deadRetentionMs: 7_200_000,
        pauseThresholdMs: Math.max(150, 0.6 * periodMs),
    };
}

/** A probe that is waiting for its ack. */
export interface Probe {
    readonly target: HostId;
    readonly startedMs: number;
    readonly stage: "direct" | "indirect";
    readonly deadlineMs: number;
    /** Whether a helper reported that it could not reach the target either. */
    readonly hasNack: boolean;
}

/** A probe made on behalf of another host. */
export interface RelayedProbe {
    readonly requester: HostId;
    readonly requesterSequence: number;
    readonly deadlineMs: number;
}

/** The suspicion that a member is dead, raised by this node or by others. */
export interface Suspicion {
    readonly sinceMs: number;
    /** Whether this node's own probes failed. Only such a node pings the member to refute, so only it uses the short deadline. */
    readonly isDetectedLocally: boolean;
    /** When a locally detected suspicion is broadcast; until then any message from the member clears it. */
    readonly announceAtMs: number;
    readonly deadlineMs: number;
    readonly nextPingMs: number;
}

/** The membership state of one node; immutable, each step creates a new one. */
export interface MembershipState {
    readonly self: HostId;
    readonly timing: MembershipTiming;
    /** All members, including this node and dead ones. */
    readonly members: ReadonlyMap<HostId, MemberRecord>;
    /** Published values by name and host. */
    readonly values: ReadonlyMap<string, PublishedValue>;
    readonly queue: BroadcastQueue;
    readonly probes: ReadonlyMap<number, Probe>;
    readonly relays: ReadonlyMap<number, RelayedProbe>;
    readonly suspicions: ReadonlyMap<HostId, Suspicion>;
    /** Members that a peer considers dead and this node does not; each is notified so that it can refute. */
    readonly accused: ReadonlyMap<HostId, MemberRecord>;
    readonly deadSinceMs: ReadonlyMap<HostId, number>;
    /** 0 while this node's own probes succeed. Timeouts grow with it, since a node that misses many replies is probably slow itself. */
    readonly localHealthScore: number;
    /** Whether a change must be sent to several peers at the next tick. */
    readonly hasUrgentChange: boolean;
    readonly isStopped: boolean;
    readonly configurationVersion: number;
    readonly sequence: number;
    readonly lastTickMs: number;
    readonly nextProbeMs: number;
    readonly nextSyncMs: number;
    /** Never advanced in place; each step clones it. */
    readonly random: RandomGenerator;
}

/** An input of the membership state machine. */
export type MembershipInput =
    /** Periodic timer; `round` is the number of the current probe period by wall-clock time. */
    | { readonly kind: "tick"; readonly nowMs: number; readonly round: number; }
    | { readonly kind: "message"; readonly nowMs: number; readonly from: HostId; readonly message: MembershipMessage; }
    /** Requests all records from a host. */
    | { readonly kind: "join"; readonly nowMs: number; readonly host: HostId; }
    | { readonly kind: "leave"; readonly nowMs: number; }
    /** The process is stopping and announces it, so that others need not detect it by probing. */
    | { readonly kind: "stop"; readonly nowMs: number; }
    | {
        readonly kind: "publish";
        readonly nowMs: number;
        readonly name: string;
        readonly value: unknown;
        readonly version: number;
    }
    | { readonly kind: "configuration"; readonly nowMs: number; readonly version: number; };

/** An effect of an input, to be carried out by the caller. */
export type MembershipEffect =
    | { readonly kind: "send"; readonly to: HostId; readonly message: MembershipMessage; }
    /** A member was added, or its incarnation or visible state changed. */
    | { readonly kind: "changed"; readonly record: MemberRecord; }
    /** A dead member was removed after its retention period. */
    | { readonly kind: "forgotten"; readonly hostId: HostId; }
    /** Another process with this host id is running under a newer incarnation. */
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
        localHealthScore: 0,
        hasUrgentChange: false,
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
 * The share of the suspicion timeout before a suspicion is broadcast, so that a pause of one second ends first. With immediate broadcast,
 * one such pause every 30 s per node cost 60 nodes 12.6 KB/s each for suspicions and refutations.
 */
export const unannouncedShare = 0.4;

/** The time a suspected member has to refute: 1.5 s at a period of 500 ms, longer than a pause of one second, and more in a larger fleet. */
export function suspicionTimeoutMs(timing: MembershipTiming, fleetSize: number): number {
    return timing.periodMs * (3 + 0.1 * Math.log2(fleetSize + 1));
}
