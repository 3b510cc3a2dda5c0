import type { HostId } from "@filbertrelay/kernel";
import type { Holder, HolderSet, ShardEntry, ShardValue, StoredResponse, VersionedValue } from "./value.js";

/** A request to the state machine of the same shard on a peer. */
export type PeerRequest =
    | {
        readonly type: "copy";
        readonly set: HolderSet;
        readonly sequence: number;
        /** The owner's counter when the copy was sent; an acknowledgement proves ownership as of then. */
        readonly issued: number;
        /** Copies up to this revision are in the key-value service and can be dropped. */
        readonly storedSequence: number;
        readonly entries: readonly ShardEntry[];
    }
    | { readonly type: "promise"; readonly epoch: number; }
    | { readonly type: "release"; readonly epoch: number; }
    | {
        readonly type: "holders";
        readonly set: HolderSet;
        readonly version: number;
        readonly storedSequence: number;
        readonly value: ShardValue;
        readonly sealed: readonly (readonly [string, number])[];
    }
    | { readonly type: "activate"; readonly set: HolderSet; }
    | { readonly type: "query"; readonly epoch: number; }
    | {
        readonly type: "settle";
        readonly key: string;
        readonly intent: string;
        readonly state: "done" | "notRun";
        readonly entry: ShardEntry;
    };

/** The reply to a peer request; `holder` is the replying process. */
export interface PeerReply {
    readonly holder: Holder;
    readonly ok: boolean;
    /** The newest holder set that the replying process knows. */
    readonly newest?: HolderSet | undefined;
    /** The newest holder set that the replying process agreed to and therefore holds all copies of. */
    readonly agreed?: HolderSet | undefined;
    readonly copies?: readonly ShardEntry[] | undefined;
}

/** How an unknown entry of a service can be resolved: not at all, by a deduplicated retry or by a status query. */
export type ResolutionMethod = "none" | "deduplicates" | "status";

/** A submission without the request's content, which stays outside the state machine. */
export interface SubmitInput {
    readonly type: "submit";
    readonly call: number;
    readonly key: string;
    readonly fingerprint: string;
    readonly customer: string;
    readonly service: string;
    readonly operation: string;
    readonly endpoints: readonly string[];
    readonly resolution: ResolutionMethod;
    readonly deadlineMs: number;
}

/** A member of the fleet in this shard's order of preference. */
export interface Candidate extends Holder {
    readonly failureDomain: string;
    readonly state: "alive" | "suspect" | "leaving" | "dead";
}

/** How an attempt at an endpoint ended. */
export type AttemptOutcome =
    | { readonly type: "response"; readonly response: StoredResponse; }
    | { readonly type: "notRun"; readonly code: string; }
    | { readonly type: "ran"; }
    | { readonly type: "unknown"; };

/** An input of the state machine. */
export type ShardInput =
    | SubmitInput
    | { readonly type: "members"; readonly members: readonly Candidate[]; }
    | { readonly type: "acquire"; readonly force: boolean; }
    | { readonly type: "leave"; }
    | { readonly type: "timer"; }
    | { readonly type: "read"; readonly result: VersionedValue | "missing" | "unavailable"; }
    | { readonly type: "written"; readonly token: string; readonly result: number | "conflict" | "unavailable"; }
    | { readonly type: "segments"; readonly keys: readonly (readonly [string, number])[] | undefined; }
    | { readonly type: "segmentWritten"; readonly keys: readonly string[]; readonly ok: boolean; }
    | { readonly type: "request"; readonly to: Holder; readonly request: PeerRequest; }
    | { readonly type: "called"; readonly to: Holder; readonly request: PeerRequest; readonly reply: PeerReply | undefined; }
    | { readonly type: "proof"; readonly host: HostId; readonly terminated: boolean; }
    | { readonly type: "hosts"; readonly hosts: readonly HostId[] | undefined; }
    | { readonly type: "sent"; readonly intent: string; readonly endpoint: string; readonly outcome: AttemptOutcome; }
    | { readonly type: "queried"; readonly key: string; readonly response: StoredResponse | undefined; };

/** Why a submission was refused. */
export type ShardRefusalCode =
    | "shard.notOwned"
    | "shard.noWitness"
    | "shard.unavailable"
    | "shard.unknown"
    | "shard.keyReused"
    | "shard.overloaded"
    | "shard.expired"
    | "endpoint.refused";

/** The result of a submission. */
export type SubmitResult =
    | { readonly ok: true; readonly response: StoredResponse; }
    | { readonly ok: false; readonly code: ShardRefusalCode; readonly executed: "no" | "unknown" | "yes"; };

/** An effect that the state machine requests; each one except `answer`, `reply` and `wake` leads to one later input. */
export type ShardEffect =
    | { readonly type: "answer"; readonly call: number; readonly answer: SubmitResult; }
    | { readonly type: "reply"; readonly reply: PeerReply; }
    | { readonly type: "read"; }
    | { readonly type: "write"; readonly token: string; readonly expectedVersion: number; readonly value: ShardValue; }
    | { readonly type: "readSegments"; }
    | { readonly type: "writeSegment"; readonly keys: readonly (readonly [string, number])[]; }
    | { readonly type: "call"; readonly to: Holder; readonly request: PeerRequest; }
    | { readonly type: "prove"; readonly host: HostId; }
    | { readonly type: "listHosts"; }
    | {
        readonly type: "send";
        readonly key: string;
        readonly intent: string;
        readonly endpoint: string;
        readonly epoch: number;
        readonly deadlineMs: number;
    }
    | { readonly type: "query"; readonly key: string; readonly endpoints: readonly string[]; }
    | { readonly type: "wake"; readonly atMs: number; };
