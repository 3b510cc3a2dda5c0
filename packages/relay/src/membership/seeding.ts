import type { HostListClient } from "@filbertrelay/connectors";
import type { EventLog, HostId } from "@filbertrelay/kernel";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { membershipEvents } from "./event.js";

// Each contacted host sends its whole membership table; two are enough unless one of them is failing.
const hostsPerAttempt = 2;

/** Sources in which a host finds its first members. */
export interface SeedingOptions {
    readonly log: EventLog;
    readonly network: TcpPeerNetwork;
    readonly hostList: HostListClient;
    readonly self: HostId;
    readonly ownAddress: string;
    /** Peer addresses from the settings. */
    readonly seeds: readonly string[];
    /** Whether a host is already a known member, which needs no join. */
    readonly isKnown: (hostId: HostId) => boolean;
}

/** Identifies the hosts at a few seed addresses by their handshakes. */
export async function identifySeeds({ network, seeds, ownAddress }: SeedingOptions): Promise<readonly HostId[]> {
    const selected = shuffle(seeds.filter(address => address !== ownAddress)).slice(0, hostsPerAttempt);
    const identified = await Promise.all(selected.map(address => network.identify(address)));
    return [...new Set(identified.flatMap(outcome => outcome.ok ? [outcome.value] : []))];
}

/** Returns a few entry hosts from the host list that are not yet known as members. */
export async function readHostList({ hostList, network, log, self, isKnown }: SeedingOptions): Promise<readonly HostId[]> {
    const listed = await hostList.list();
    if (!listed.ok) {
        log.write(membershipEvents.hostListUnavailable, { reason: listed.issue.message });
        return [];
    }
    const hosts = listed.value.filter(({ role, hostId }) => role === "entry" && hostId !== self && !isKnown(hostId));
    hosts.forEach(({ hostId, address }) => network.setAddress(hostId, address));
    return shuffle(hosts.map(({ hostId }) => hostId)).slice(0, hostsPerAttempt);
}

function shuffle<T>(items: readonly T[]): T[] {
    return items.map(item => ({ item, order: Math.random() })).sort((left, right) => left.order - right.order).map(({ item }) =>
        item
    );
}
