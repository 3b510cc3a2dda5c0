import type { EndpointId, FailureDomainId, HostId, Issue, Outcome } from "@filbertrelay/kernel";

/** Why the host list could not be read. */
export interface HostListIssue extends Issue {
    readonly code: "hostList.unavailable" | "hostList.invalid";
}

/** One entry of the host list, which lags behind the actual state of the hosts. */
export interface ListedHost {
    readonly hostId: HostId;
    readonly role: "entry" | "engine" | "service";
    /** Peer address of an entry host; HTTP address of an endpoint host. */
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly state: "live" | "leaving";
    /** The endpoint that the host runs; absent on entry hosts. */
    readonly endpointId?: EndpointId;
    /** The model of an engine or the name of a plain service. */
    readonly serves?: string;
    readonly hostClass?: string;
    readonly reclaimable?: boolean;
}

/** Client of the host list; registered in the kernel as `hostList`. */
export interface HostListClient {
    list(): Promise<Outcome<readonly ListedHost[], HostListIssue>>;
}
