import type { PlannedHost } from "./plan.js";
import type { FleetProcess } from "./process.js";

/** A host of a running fleet. */
export interface FleetHost extends PlannedHost {
    /** Address that the cloud and the host list know: peer address of an entry host, HTTP address of an endpoint. */
    readonly address: string;
    /** Callers' address of an entry host. */
    readonly callerAddress?: string;
    /** The present process; replaced by a restart. */
    process: FleetProcess;
    readonly startedMs: number;
    /** When the process ended, on the clock of `performance.now()`. */
    endedMs: number | undefined;
}

/** Cost of hosts in thousandths of a cent, by failure domain, role and market. */
export interface HostCost {
    readonly failureDomain: string;
    readonly role: string;
    readonly reclaimable: boolean;
    readonly hosts: number;
    readonly cost: number;
}

const msPerHour = 3_600_000;

/** Adds up what the hosts cost from their start to their end or until now. */
export function sumCost(hosts: Iterable<FleetHost>, nowMs: number): readonly HostCost[] {
    const sums = new Map<string, HostCost>();
    for (const { failureDomain, role, reclaimable, pricePerHour, startedMs, endedMs } of hosts) {
        const key = `${failureDomain}/${role}/${reclaimable}`;
        const cost = pricePerHour * ((endedMs ?? nowMs) - startedMs) / msPerHour;
        const former = sums.get(key);
        sums.set(key, { failureDomain, role, reclaimable, hosts: (former?.hosts ?? 0) + 1, cost: (former?.cost ?? 0) + cost });
    }
    return [...sums.values()];
}
