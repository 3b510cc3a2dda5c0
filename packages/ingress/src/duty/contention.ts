import type { HostId } from "@filbertrelay/kernel";
import { rankByRendezvous } from "@filbertrelay/policy/ingress";
import type { HostRecord } from "../fleet/hosts.js";
import type { ServingHosts } from "../fleet/servinghosts.js";

/** Hosts that contend for free duties at once; the others would only add calls to the store. */
const firstContenders = 3;
/** How long the other hosts wait for them. */
const laterMs = 600;
/** How long hosts that serve callers wait: the loss of the holder should not cost callers anything. */
const servingMs = 1_000;

/** How long a host of a large fleet leaves free duties to others, in milliseconds. */
export function chooseContendDelay(
    self: HostId,
    { hosts, serving }: { readonly hosts: readonly HostRecord[]; readonly serving: ServingHosts; },
): number {
    if (serving.isFullFleet) {
        return 0;
    }
    if (serving.isServing(self)) {
        return servingMs;
    }
    const spare = hosts.map(({ hostId }) => hostId).filter(hostId => !serving.isServing(hostId));
    return rankByRendezvous("duties", spare, hostId => hostId).slice(0, firstContenders).includes(self) ? 0 : laterMs;
}
