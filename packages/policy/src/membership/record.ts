import type { FailureDomainId, HostId, Incarnation } from "@filbertrelay/kernel";

/** Properties that a member announces; fixed within one incarnation. */
export interface MemberDetails {
    readonly failureDomain: FailureDomainId;
    /** IP address and port for peers. */
    readonly peerAddress: string;
    /** IP address and port for callers. */
    readonly callerAddress: string;
}

/** The health of a member as determined by probes. */
export type MemberHealth = "alive" | "suspect" | "dead";

/** The known state of one member. */
export interface MemberRecord {
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    /** The number of suspicions the member has refuted in this incarnation. */
    readonly refutations: number;
    /** Whether the member announced that it is leaving; never reset within an incarnation. */
    readonly isLeaving: boolean;
    readonly health: MemberHealth;
    readonly details: MemberDetails;
}

/** A record in a message; details are omitted where the receiver usually has them. */
export type MemberUpdate = Omit<MemberRecord, "details"> & { readonly details?: MemberDetails | undefined; };

const healthRanks: Record<MemberHealth, number> = { alive: 0, suspect: 1, dead: 2 };

/**
 * Merges two records of one host; the result does not depend on the order of arrival. A newer incarnation replaces an older one. Within an
 * incarnation `isLeaving` is kept, the higher refutation count wins, and at equal counts the worse health wins.
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

/** Compares incarnations of one host by start time, then by random part; positive if the left one is newer. */
export function compareIncarnations(left: Incarnation, right: Incarnation): number {
    const difference = Number.parseInt(left, 10) - Number.parseInt(right, 10);
    if (difference !== 0) {
        return difference;
    }
    return left === right ? 0 : left > right ? 1 : -1;
}

/** The state exposed to other services; `leaving` takes precedence over `suspect`, and `dead` over both. */
export function visibleState(record: MemberRecord): "alive" | "suspect" | "leaving" | "dead" {
    return record.health === "dead" ? "dead" : record.isLeaving ? "leaving" : record.health;
}

/** Creates the update of a record for a message; by default details are included for members that are alive and not leaving. */
export function createUpdate(record: MemberRecord, withDetails = record.health === "alive" && !record.isLeaving): MemberUpdate {
    const { hostId, incarnation, refutations, isLeaving, health, details } = record;
    return { hostId, incarnation, refutations, isLeaving, health, ...(withDetails ? { details } : {}) };
}
