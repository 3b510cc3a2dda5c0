import type { Clock, EventLog, HostId } from "@filbertrelay/kernel";
import type { HostListClient } from "@filbertrelay/platform";
import type { TcpPeerNetwork } from "@filbertrelay/wire";
import { membershipEvents } from "./event.js";

const hostsPerAttempt = 3;

/** Options of `findHosts`. */
export interface SeedingOptions {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly network: TcpPeerNetwork;
    readonly hostList: HostListClient;
    readonly self: HostId;
    readonly ownAddress: string;
    /** Peer addresses from the settings. */
    readonly seeds: readonly string[];
    /** Members that need no seeding. */
    readonly isKnown: (hostId: HostId) => boolean;
}

/** Finds a few hosts that could be members and are not known: from the seeds, whose host ids the handshake proves, and the host list. */
export async function findHosts(options: SeedingOptions): Promise<readonly HostId[]> {
    const [seeded, listed] = await Promise.all([identifySeeds(options), readHostList(options)]);
    const unknown = [...new Set([...seeded, ...listed])].filter(hostId => hostId !== options.self && !options.isKnown(hostId));
    return shuffle(unknown).slice(0, hostsPerAttempt);
}

async function identifySeeds({ network, seeds, ownAddress }: SeedingOptions): Promise<readonly HostId[]> {
    const chosen = shuffle(seeds.filter(address => address !== ownAddress)).slice(0, hostsPerAttempt);
    const identified = await Promise.all(chosen.map(address => network.identify(address)));
    return identified.flatMap(outcome => outcome.ok ? [outcome.value] : []);
}

async function readHostList({ hostList, network, log, self, isKnown }: SeedingOptions): Promise<readonly HostId[]> {
    const listed = await hostList.list();
    if (!listed.ok) {
        log.write(membershipEvents.hostListUnavailable, { reason: listed.issue.message });
        return [];
    }
    const hosts = listed.value.filter(({ role, hostId }) => role === "entry" && hostId !== self && !isKnown(hostId));
    hosts.forEach(({ hostId, address }) => network.setAddress(hostId, address));
    return hosts.map(({ hostId }) => hostId);
}

function shuffle<T>(items: readonly T[]): T[] {
    return items.map(item => ({ item, order: Math.random() })).sort((left, right) => left.order - right.order).map(({ item }) =>
        item
    );
}
