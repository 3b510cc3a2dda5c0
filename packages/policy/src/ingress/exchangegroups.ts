import type { FailureDomainId, HostId } from "@filbertrelay/kernel";
import { hashText, rankByRendezvous } from "../rendezvous.js";

/** Up to this size all pairs of hosts exchange; above it, each host exchanges with its group and one host of each other group. */
const largestSingleGroup = 24;
/** Minimum interval between reports to the same peer where all pairs of hosts exchange. */
const minIntervalMs = 200;
/** Minimum interval with groups. A group report takes 0.2 ms of processor time, too much for a small host to spend more often. */
const minGroupIntervalMs = 400;
/** The same between aggregators: use goes through two of them, and limits hold only if it is known soon. */
const minAggregatingIntervalMs = 300;
/** Minimum interval per peer; bounds a host's message rate regardless of the size of the fleet. */
const intervalPerPeerMs = 30;

/** The hosts with which one host exchanges usage reports. */
export interface ExchangePlan {
    /** Number of groups; equal on all hosts that know the same number of hosts. */
    readonly groups: number;
    readonly ownGroup: number;
    /** Other hosts of this host's group. */
    readonly groupPeers: readonly HostId[];
    /** One host of each other non-empty group, by group number; it reports the usage of its group. */
    readonly representatives: ReadonlyMap<number, HostId>;
}

/** Options of `planExchange`. */
export interface ExchangePlanOptions {
    /** Whether a host did not respond recently; other hosts of its group are preferred. */
    readonly isAvoided: (hostId: HostId) => boolean;
}

/**
 * Number of groups for a number of hosts: the power of two nearest to its square root. Each host then exchanges with about twice
 * the square root of the number of hosts, and the number of groups seldom changes.
 */
export function countExchangeGroups(hosts: number): number {
    return hosts <= largestSingleGroup ? 1 : 2 ** Math.round(Math.log2(Math.sqrt(hosts)));
}

/** Plans the exchange of one host; a host that joins or leaves doesn't change the groups of others, unless the number of groups changes. */
export function planExchange(self: HostId, hosts: readonly HostId[], options: ExchangePlanOptions): ExchangePlan {
    const groups = countExchangeGroups(hosts.length);
    const members = new Map<number, HostId[]>();
    for (const hostId of hosts.filter(other => other !== self)) {
        const group = groupOf(hostId, groups);
        members.set(group, [...members.get(group) ?? [], hostId]);
    }
    const ownGroup = groupOf(self, groups);
    const representatives = new Map<number, HostId>();
    for (const [group, candidates] of members) {
        const ranked = rankByRendezvous(self, candidates, hostId => hostId);
        const representative = ranked.find(hostId => !options.isAvoided(hostId)) ?? ranked[0];
        if (group !== ownGroup && representative !== undefined) {
            representatives.set(group, representative);
        }
    }
    return { groups, ownGroup, groupPeers: members.get(ownGroup) ?? [], representatives: representatives };
}

/**
 * Interval between the rounds of reports of one host, in milliseconds; announcements are no closer. `isAggregating` says whether the
 * hosts report for others, whose calls they answer besides.
 */
export function exchangeIntervalMs({ groups, groupPeers, representatives }: ExchangePlan, isAggregating = false): number {
    const minMs = groups === 1 ? minIntervalMs : minGroupIntervalMs;
    return Math.max(
        isAggregating ? minAggregatingIntervalMs : minMs,
        intervalPerPeerMs * (groupPeers.length + representatives.size),
    );
}

function groupOf(hostId: HostId, groups: number): number {
    return hashText(hostId) % groups;
}

/** A host with its failure domain. */
export interface PlacedHost {
    readonly hostId: HostId;
    readonly failureDomain: FailureDomainId;
}

/** Ranks hosts for watching the store on behalf of the fleet. */
export function rankWatchers(hosts: readonly PlacedHost[]): readonly HostId[] {
    return rankAcrossDomains("store", hosts);
}

/**
 * Ranks hosts for a key, in the same order on every host. As many failure domains as possible come before a second host of one, since
 * the hosts of a domain fail together.
 */
export function rankAcrossDomains(key: string, hosts: readonly PlacedHost[]): readonly HostId[] {
    const perDomain = new Map<FailureDomainId, number>();
    const rows: HostId[][] = [];
    for (const { hostId, failureDomain } of rankByRendezvous(key, hosts, host => host.hostId)) {
        const row = perDomain.get(failureDomain) ?? 0;
        perDomain.set(failureDomain, row + 1);
        (rows[row] ??= []).push(hostId);
    }
    return rows.flat();
}
