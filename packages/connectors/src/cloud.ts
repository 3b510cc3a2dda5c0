import type { FailureDomainId, HostId, Issue, Outcome } from "@filbertrelay/kernel";

/** Why a call to the cloud API failed; `refused` means that no capacity was available. */
export interface CloudIssue extends Issue {
    readonly code: "cloud.unavailable" | "cloud.refused" | "cloud.notFound" | "cloud.invalid";
}

/** A host as the cloud API describes it; prices in thousandths of a cent per hour. */
export interface CloudHost {
    readonly hostId: HostId;
    readonly role: "entry" | "engine" | "service";
    readonly address?: string;
    readonly failureDomain: FailureDomainId;
    readonly hostClass: string;
    readonly reclaimable: boolean;
    readonly state: "running" | "reclaiming" | "terminated";
    readonly pricePerHour: number;
}

/** A notice that a host will be terminated at the given wall-clock time. */
export interface ReclaimNotice {
    readonly sequence: number;
    readonly hostId: HostId;
    readonly terminatesAt: Date;
}

/** Client of the cloud API; registered in the kernel as `cloud`. */
export interface CloudClient {
    listHosts(): Promise<Outcome<readonly CloudHost[], CloudIssue>>;
    getHost(hostId: HostId): Promise<Outcome<CloudHost, CloudIssue>>;
    /** Starts a host; a retry with the same request id starts no second one. */
    startHost(
        request: {
            readonly requestId: string;
            readonly role: CloudHost["role"];
            readonly failureDomain: FailureDomainId;
            readonly hostClass: string;
            readonly reclaimable: boolean;
        },
    ): Promise<Outcome<CloudHost, CloudIssue>>;
    terminateHost(hostId: HostId): Promise<Outcome<undefined, CloudIssue>>;
    /** Waits for reclaim notices with a sequence above the given one; returns an empty list on timeout. */
    waitForNotices(
        afterSequence: number,
        options: { readonly timeoutMs: number; readonly signal?: AbortSignal; },
    ): Promise<Outcome<readonly ReclaimNotice[], CloudIssue>>;
}
