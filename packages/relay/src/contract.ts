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

/** Small values that travel with membership messages, newest version per host and name; at most 1 KB each. */
export interface GossipValue {
    readonly name: string;
    readonly host: HostId;
    readonly version: number;
    readonly value: unknown;
}

/** Who is in the fleet; registered as `membership`. */
export interface MembershipService extends Service {
    self(): Member;
    members(): readonly Member[];
    /** Marks this host as leaving and spreads it at once. */
    leave(): Promise<void>;
    /** Calls back after each change of a member's state. */
    onChange(callback: (member: Member) => void): Cancel;
    /** Publishes this host's value under a name to all members. */
    publish(name: string, value: unknown): void;
    /** The values that all hosts published under a name. */
    published(name: string): readonly GossipValue[];
}

/** The configuration in effect; registered as `configuration`. */
export interface ConfigurationService extends Service {
    /** The newest head seen; `undefined` until the first one arrived. */
    head(): ConfigurationHead | undefined;
    /** The newest configuration; a call before readiness is a broken invariant. */
    current(): Configuration;
    /** Calls back after a newer configuration took effect. */
    onChange(callback: (head: ConfigurationHead) => void): Cancel;
    /** True after this daemon asked the key-value service or its peers for the highest version. */
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
    /** Milliseconds that the caller still waits. */
    readonly remainingMs: number;
}

/** Why a submission has no answer. */
export interface SubmissionIssue extends Issue {
    readonly code: ShardRefusalCode;
    readonly executed: "no" | "unknown" | "yes";
}

/** One entry of a shard for operators. */
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
    /** Runs a submission at the shard's owner, wherever that is, and waits for its answer. */
    submit(
        submission: Submission,
    ): Promise<Outcome<{ readonly requestId: RequestId; readonly response: ServiceResponse; }, SubmissionIssue>>;
    /** Reads a recorded answer from any host; only for the customer that sent it. */
    read(requestId: RequestId, customer: CustomerId): Promise<Outcome<ServiceResponse, SubmissionIssue>>;
    /** Lists the entries held by this host. */
    entries(): readonly ShardEntryView[];
    /** Hands all owned shards over because this host leaves; resolves when none is owned or the deadline (monotonic) passed. */
    release(deadlineMs: number): Promise<void>;
    /** Shard numbers owned here with epoch and mode, for `status`. */
    owned(): readonly { readonly shard: number; readonly epoch: number; readonly mode: "store" | "witness"; }[];
}

/** Finds the addresses of endpoints from the host list; registered as `directory`. */
export interface DirectoryService extends Service {
    /** Live endpoints of a model or plain service; leaving endpoints are left out. */
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
