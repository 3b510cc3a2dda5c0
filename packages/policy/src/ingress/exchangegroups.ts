import type { HostId } from "@filbertrelay/kernel";
import { hashText, rankByRendezvous } from "../rendezvous.js";

/** Up to this many hosts exchange between all pairs; of more, each exchanges with its group and one host of each other group. */
const largestSingleGroup = 24;

/** With whom a host exchanges its use. */
export interface ExchangePlan {
    /** Number of groups; the same on all hosts that know equally many. */
    readonly groups: number;
    readonly ownGroup: number;
    /** Other hosts of the own group. */
    readonly mates: readonly HostId[];
    /** One host of each other group that has any, by number of the group; it answers for its group. */
    readonly partners: ReadonlyMap<number, HostId>;
}

/** Options of `planExchange`. */
export interface ExchangePlanOptions {
    /** Hosts that did not answer lately; others of their group are preferred. */
    readonly isAvoided: (hostId: HostId) => boolean;
}

/**
 * Number of groups for a number of hosts: the power of two next to its square root, so that each host has about twice the square
 * root of the hosts to talk to, and the number seldom changes.
 */
export function countExchangeGroups(hosts: number): number {
    return hosts <= largestSingleGroup ? 1 : 2 ** Math.round(Math.log2(Math.sqrt(hosts)));
}

/** Plans the exchange of one host; a host that joins or leaves changes nobody else's group. */
export function planExchange(self: HostId, hosts: readonly HostId[], options: ExchangePlanOptions): ExchangePlan {
    const groups = countExchangeGroups(hosts.length);
    const members = new Map<number, HostId[]>();
    for (const hostId of hosts.filter(other => other !== self)) {
        const group = groupOf(hostId, groups);
        members.set(group, [...members.get(group) ?? [], hostId]);
    }
    const ownGroup = groupOf(self, groups);
    const partners = new Map<number, HostId>();
    for (const [group, candidates] of members) {
        const ranked = rankByRendezvous(self, candidates, hostId => hostId);
        const partner = ranked.find(hostId => !options.isAvoided(hostId)) ?? ranked[0];
        if (group !== ownGroup && partner !== undefined) {
            partners.set(group, partner);
        }
    }
    return { groups, ownGroup, mates: members.get(ownGroup) ?? [], partners };
}

function groupOf(hostId: HostId, groups: number): number {
    return hashText(hostId) % groups;
}

/** The hosts that watch the store for the whole fleet, from those that are heard. */
export function chooseWatchers(hosts: readonly HostId[], count: number): readonly HostId[] {
    return rankByRendezvous("store", hosts, hostId => hostId).slice(0, count);
}
