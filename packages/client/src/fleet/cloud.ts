import * as z from "zod";
import { callControl } from "./control.js";
import type { PlannedHost } from "./plan.js";

const reclaimedSchema = z.object({ hostIds: z.array(z.string()) });

/** What the cloud stand-in is told about a host's process. */
export interface HostProcess {
    readonly pid: number;
    /** Peer address of an entry host, HTTP address of an endpoint. */
    readonly address: string;
}

/** A reclaim of one host or of a whole failure domain. */
export interface Reclaim {
    readonly hostId?: string;
    readonly failureDomain?: string;
    readonly noticeMs: number;
    /** Takes on-demand hosts too. */
    readonly includeOnDemand?: boolean;
}

/** Calls the control paths of the cloud stand-in; see docs/protocols/cloud.md. */
export class CloudControl {
    readonly url: string;

    constructor(url: string) {
        this.url = url;
    }

    /** Registers a host, which the cloud kills when it is terminated. */
    async register(host: PlannedHost, { pid, address }: HostProcess): Promise<void> {
        const { hostId, role, failureDomain, hostClass, reclaimable, pricePerHour, serves } = host;
        const endpoint = serves === undefined ? {} : { serves, endpointId: hostId };
        await callControl(this.url, "/hosts", {
            hostId,
            role,
            failureDomain,
            hostClass,
            reclaimable,
            pricePerHour,
            pid,
            address,
            ...endpoint,
        });
    }

    /** Names the process of a host that the cloud knows already, and what it serves. */
    async attach(hostId: string, process: HostProcess, serves?: string): Promise<void> {
        const endpoint = serves === undefined ? {} : { serves, endpointId: hostId };
        await callControl(this.url, `/hosts/${hostId}`, { ...process, ...endpoint });
    }

    /** Announces a reclaim and carries it out after the notice; gives the hosts concerned. */
    async reclaim(reclaim: Reclaim): Promise<readonly string[]> {
        return reclaimedSchema.parse(await callControl(this.url, "/reclaim", reclaim)).hostIds;
    }

    /** Terminates a host at once, without notice. */
    async terminate(hostId: string): Promise<void> {
        await callControl(this.url, `/terminate/${hostId}`, {});
    }
}
