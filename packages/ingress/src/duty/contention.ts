import type { HostId } from "@filbertrelay/kernel";
import { rankByRendezvous } from "@filbertrelay/policy/ingress";
import type { HostRecord } from "../fleet/hosts.js";
import type { ServingHosts } from "../fleet/servinghosts.js";

/** Number of hosts that contend for a free duty lease at once; more would only add calls to the store. */
const preferredContenders = 3;
/** Delay of the other hosts that don't serve callers. */
const otherHostDelayMs = 600;
/** Delay of hosts that serve callers, so that the loss of the duty holder usually affects no callers. */
const servingHostDelayMs = 1_000;

/** Returns how long a host waits before it contends for a free duty lease, in milliseconds; 0 in small fleets. */
export function chooseContendDelay(
    self: HostId,
    { hosts, serving }: { readonly hosts: readonly HostRecord[]; readonly serving: ServingHosts; },
): number {
    if (serving.isFullFleet) {
        return 0;
    }
    if (serving.isServing(self)) {
        return servingHostDelayMs;
    }
    const spare = hosts.map(({ hostId }) => hostId).filter(hostId => !serving.isServing(hostId));
    return rankByRendezvous("duties", spare, hostId => hostId).slice(0, preferredContenders).includes(self) ?
        0 :
        otherHostDelayMs;
}
