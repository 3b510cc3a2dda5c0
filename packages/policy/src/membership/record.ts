import type { FailureDomainId, HostId, Incarnation } from "@filbertrelay/kernel";

/** What a member tells about itself; fixed within one incarnation. */
export interface MemberDetails {
    readonly failureDomain: FailureDomainId;
    /** IP address and port for peers. */
    readonly peerAddress: string;
    /** IP address and port for callers. */
    readonly callerAddress: string;
}

/** Whether probes reach a member. */
export type MemberHealth = "alive" | "suspect" | "dead";

/** What is known of one member. */
export interface MemberRecord {
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    /** How often the member has refuted a suspicion in this incarnation. */
    readonly refutations: number;
    /** Set when the member announced that it leaves; never undone within an incarnation. */
    readonly isLeaving: boolean;
    readonly health: MemberHealth;
    readonly details: MemberDetails;
}

/** A record in a message; the details are left out where the receiver usually knows them. */
export type MemberUpdate = Omit<MemberRecord, "details"> & { readonly details?: MemberDetails | undefined; };

const healthRanks: Record<MemberHealth, number> = { alive: 0, suspect: 1, dead: 2 };

/**
 * Joins two records of one host. The result does not depend on the order in which records arrive: a newer incarnation replaces an older one;
 * within an incarnation `leaving` is kept, more refutations win, and at equal refutations the worse health wins.
 */
export function mergeRecords(current: MemberRecord, update: MemberUpdate): MemberRecord {
    if (update.incarnation !== current.incarnation) {
        const isNewer = compareIncarnations(update.incarnation, current.incarnation) > 0;
        return isNewer && update.details !== undefined ? { ...update, details: update.details } : current;
    }
    const isLeaving = current.isLeaving || update.isLeaving;
    const isNewer = update.refutations > current.refutations ||
        (update.refutations === current.refutations && healthRanks[update.health] > healthRanks[current.health]);
    if (!isNewer && isLeaving === current.isLeaving) {
        return current;
    }
    const { refutations, health } = isNewer ? update : current;
    return { ...current, refutations, health, isLeaving };
}

/** Orders incarnations of one host by start time, then by their random part; positive when the left one is newer. */
export function compareIncarnations(left: Incarnation, right: Incarnation): number {
    const difference = Number.parseInt(left, 10) - Number.parseInt(right, 10);
    if (difference !== 0) {
        return difference;
    }
    return left === right ? 0 : left > right ? 1 : -1;
}

/** The state that other services see: a dead member is dead, a leaving one leaving even while it is suspected. */
export function visibleState(record: MemberRecord): "alive" | "suspect" | "leaving" | "dead" {
    return record.health === "dead" ? "dead" : record.isLeaving ? "leaving" : record.health;
}

/** Makes a record's update for a message; members that are alive and stay carry their details so that others learn of them. */
export function describeRecord(record: MemberRecord, withDetails = record.health === "alive" && !record.isLeaving): MemberUpdate {
    const { hostId, incarnation, refutations, isLeaving, health, details } = record;
    return { hostId, incarnation, refutations, isLeaving, health, ...(withDetails ? { details } : {}) };
}
