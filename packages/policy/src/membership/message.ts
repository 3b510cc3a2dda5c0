import type { HostId } from "@filbertrelay/kernel";
import type { MemberUpdate } from "./record.js";

/** A value that a host published under a name. */
export interface PublishedValue {
    readonly name: string;
    readonly host: HostId;
    /** Increases with each value that the host publishes under the name, also across restarts. */
    readonly version: number;
    readonly value: unknown;
}

/** Changes piggybacked on every message. */
export interface Gossip {
    readonly updates: readonly MemberUpdate[];
    readonly values: readonly PublishedValue[];
    /** The configuration version in effect at the sender; 0 if none. */
    readonly configurationVersion: number;
}

/** A message between the membership state machines of two hosts. */
export type MembershipMessage =
    | { readonly kind: "ping"; readonly sequence: number; readonly gossip: Gossip; }
    | { readonly kind: "ack"; readonly sequence: number; readonly gossip: Gossip; }
    /** The helper got no reply from the target; also shows that the path to the helper works. */
    | { readonly kind: "nack"; readonly sequence: number; readonly gossip: Gossip; }
    | { readonly kind: "pingRequest"; readonly sequence: number; readonly target: HostId; readonly gossip: Gossip; }
    /** Requests the records of buckets whose hashes differ; a joining host requests all. */
    | { readonly kind: "sync"; readonly hashes: readonly number[]; readonly isJoining: boolean; readonly gossip: Gossip; }
    /** `isComplete` tells a joining host that these are all records; it does not broadcast them. */
    | { readonly kind: "syncReply"; readonly hashes: readonly number[]; readonly isComplete: boolean; readonly gossip: Gossip; }
    /** Carries the records that the receiver of a `sync` lacks. */
    | { readonly kind: "push"; readonly gossip: Gossip; };
