import type { HostId } from "@filbertrelay/kernel";
import type { MemberUpdate } from "./record.js";

/** A value that a host published under a name. */
export interface PublishedValue {
    readonly name: string;
    readonly host: HostId;
    /** Grows with each value that the host publishes under the name, also over restarts. */
    readonly version: number;
    readonly value: unknown;
}

/** Changes that travel with every message. */
export interface Gossip {
    readonly updates: readonly MemberUpdate[];
    readonly values: readonly PublishedValue[];
    /** The version of the configuration in effect at the sender; 0 before the first. */
    readonly configurationVersion: number;
}

/** A message between the membership machines of two hosts. */
export type MembershipMessage =
    | { readonly kind: "ping"; readonly sequence: number; readonly gossip: Gossip; }
    | { readonly kind: "ack"; readonly sequence: number; readonly gossip: Gossip; }
    /** The helper could not reach the target; shows that the path to the helper works. */
    | { readonly kind: "nack"; readonly sequence: number; readonly gossip: Gossip; }
    | { readonly kind: "pingRequest"; readonly sequence: number; readonly target: HostId; readonly gossip: Gossip; }
    /** Asks for records of the buckets whose hashes differ; a joining host asks for all. */
    | { readonly kind: "sync"; readonly hashes: readonly number[]; readonly isJoining: boolean; readonly gossip: Gossip; }
    /** `isComplete` tells a joining host that these are all records, which it need not spread. */
    | { readonly kind: "syncReply"; readonly hashes: readonly number[]; readonly isComplete: boolean; readonly gossip: Gossip; }
    /** Gives the records that the receiver of a `sync` was missing. */
    | { readonly kind: "push"; readonly gossip: Gossip; };
