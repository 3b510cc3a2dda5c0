import type { Configuration, ConfigurationHead } from "@filbertrelay/configuration";
import type { ServiceResponse } from "@filbertrelay/endpoints";
import type {
    Cancel,
    CustomerId,
    FailureDomainId,
    HostId,
    IdempotencyKey,
    Incarnation,
    Issue,
    Outcome,
    RequestId,
    Service,
    ServiceName,
} from "@filbertrelay/kernel";
import type { ShardRefusalCode } from "@filbertrelay/policy";

/** The state of an entry host as this daemon knows it. */
export interface Member {
    readonly hostId: HostId;
    readonly incarnation: Incarnation;
    readonly failureDomain: FailureDomainId;
    /** IP address and port for peers. */
    readonly peerAddress: string;
    /** IP address and port for callers. */
    readonly callerAddress: string;
    readonly state: "alive" | "suspect" | "leaving" | "dead";
}

/** A value of at most 1 KB that is spread by membership messages; the newest version per host and name is kept. */
export interface GossipValue {
    readonly name: string;
    readonly host: HostId;
    readonly version: number;
    readonly value: unknown;
}

/** Tracks the entry hosts of the fleet; registered as `membership`. */
export interface MembershipService extends Service {
    self(): Member;
    members(): readonly Member[];
    /** Marks this host as leaving and broadcasts this at once. */
    leave(): Promise<void>;
    /** Calls back after a member's state has changed. */
    onChange(callback: (member: Member) => void): Cancel;
    /** Publishes a value of this host to all members under a name. */
    publish(name: string, value: unknown): void;
    /** The values that all hosts published under a name. */
    published(name: string): readonly GossipValue[];
}

/** The configuration in effect; registered as `configuration`. */
export interface ConfigurationService extends Service {
    /** The newest known head; `undefined` until the first one has arrived. */
    head(): ConfigurationHead | undefined;
    /** The newest configuration; calling it before `isReady()` violates an invariant. */
    current(): Configuration;
    /** Calls back after a newer configuration has taken effect. */
    onChange(callback: (head: ConfigurationHead) => void): Cancel;
    /** True once this daemon has asked the key-value service or its peers for the highest version. */
    isReady(): boolean;
}

/** A non-idempotent request on its way to the owner of its shard. */
export interface Submission {
    readonly customer: CustomerId;
    readonly service: ServiceName;
    readonly operation: string;
    readonly idempotencyKey: IdempotencyKey;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Milliseconds until the caller's deadline. */
    readonly remainingMs: number;
}

/** Why a submission has no response. */
export interface SubmissionIssue extends Issue {
    readonly code: ShardRefusalCode;
    readonly executed: "no" | "unknown" | "yes";
}

/** A shard entry as shown to operators. */
export interface ShardEntryView {
    readonly requestId: RequestId;
    readonly customer: CustomerId;
    readonly service: ServiceName;
    readonly operation: string;
    readonly state: "accepted" | "intent" | "done" | "notRun" | "unknown";
    readonly since: Date;
}

/** Runs non-idempotent requests at most once; registered as `shards`. */
export interface ShardService extends Service {
    /** Runs a submission at the owner of its shard, on this or another host, and waits for the response. */
    submit(
        submission: Submission,
    ): Promise<Outcome<{ readonly requestId: RequestId; readonly response: ServiceResponse; }, SubmissionIssue>>;
    /** Reads a recorded response from any host; only for the customer that sent the request. */
    read(requestId: RequestId, customer: CustomerId): Promise<Outcome<ServiceResponse, SubmissionIssue>>;
    /** Lists the entries held by this host. */
    entries(): readonly ShardEntryView[];
    /** Hands over all owned shards before this host leaves; resolves when none is owned or the monotonic deadline has passed. */
    release(deadlineMs: number): Promise<void>;
    /** The shards that this host owns, for `GET /v1/status`. */
    owned(): readonly { readonly shard: number; readonly epoch: number; readonly mode: "store" | "witness"; }[];
}

/** Resolves endpoints to addresses from the host list; registered as `directory`. */
export interface DirectoryService extends Service {
    /** Live endpoints of a model or plain service, without those that are leaving. */
    endpoints(serves: string): readonly DirectoryEntry[];
    onChange(callback: () => void): Cancel;
}

/** An endpoint as the directory knows it. */
export interface DirectoryEntry {
    readonly endpointId: string;
    readonly hostId: HostId;
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly leaving: boolean;
}
