import type { HostId } from "@filbertrelay/kernel";
import { hashText } from "../rendezvous.js";
import type { Draft } from "./draft.js";
import { applySyncRecords } from "./gossip.js";
import type { Gossip, MembershipMessage } from "./message.js";
import { createUpdate } from "./record.js";
import type { MembershipState } from "./state.js";

// Records are compared by bucket, so that an exchange is small when nearly all records agree. Values have separate buckets,
// since they change often and would otherwise cause records in the same bucket to be resent.
const bucketCount = 16;
const recordBucketsPerExchange = 2;
const valueBucketsPerExchange = 1;

/** Sends the hashes of all buckets to a host, which replies with the records of buckets that differ. */
export function startSync(draft: Draft, host: HostId, isJoining: boolean): void {
    const own = isJoining ? [createUpdate(draft.own, true)] : [];
    draft.send(host, { kind: "sync", hashes: hashBuckets(draft.state), isJoining, gossip: draft.takeGossip(host, own) });
}

/** Replies to a `sync`. */
export function answerSync(draft: Draft, from: HostId, message: MembershipMessage & { readonly kind: "sync"; }): void {
    const hashes = hashBuckets(draft.state);
    const differing = findDiffering(hashes, message.hashes);
    const buckets = message.isJoining ? new Set(hashes.keys()) : sampleBuckets(draft, differing);
    draft.send(from, { kind: "syncReply", hashes, isComplete: message.isJoining, gossip: describeBuckets(draft, buckets, from) });
}

/** Applies the records of a `syncReply` and pushes this node's records of buckets that still differ. */
export function finishSync(draft: Draft, from: HostId, message: MembershipMessage & { readonly kind: "syncReply"; }): void {
    applySyncRecords(draft, message.gossip, !message.isComplete);
    const buckets = sampleBuckets(draft, findDiffering(hashBuckets(draft.state), message.hashes));
    if (buckets.size > 0) {
        draft.send(from, { kind: "push", gossip: describeBuckets(draft, buckets, from) });
    }
}

/** Hashes the records of each bucket, then the value versions of each bucket; equal tables give equal hashes. */
export function hashBuckets(state: MembershipState): number[] {
    const hashes = Array<number>(2 * bucketCount).fill(0);
    const add = (bucket: number, text: string) => {
        // Addition makes the hash independent of table order.
        hashes[bucket] = ((hashes[bucket] ?? 0) + hashText(text)) >>> 0;
    };
    for (const { hostId, incarnation, refutations, isLeaving, health } of state.members.values()) {
        // Health is not hashed and dead members are skipped: suspicions are short and nodes remove dead members at different times.
        if (health !== "dead") {
            add(bucketOf(hostId), `${hostId} ${incarnation} ${refutations} ${isLeaving}`);
        }
    }
    for (const [key, value] of state.values) {
        add(bucketCount + bucketOf(value.host), `${key} ${value.version}`);
    }
    return hashes;
}

function findDiffering(own: readonly number[], other: readonly number[]): number[] {
    return [...own.keys()].filter(bucket => own[bucket] !== other[bucket]);
}

function sampleBuckets(draft: Draft, differing: readonly number[]): Set<number> {
    return new Set([
        ...sampleItems(draft, differing.filter(bucket => bucket < bucketCount), recordBucketsPerExchange),
        ...sampleItems(draft, differing.filter(bucket => bucket >= bucketCount), valueBucketsPerExchange),
    ]);
}

function sampleItems(draft: Draft, items: readonly number[], count: number): number[] {
    const rest = [...items];
    const sampled: number[] = [];
    while (sampled.length < count && rest.length > 0) {
        sampled.push(...rest.splice(draft.randomInteger(rest.length), 1));
    }
    return sampled;
}

function describeBuckets(draft: Draft, buckets: ReadonlySet<number>, to: HostId): Gossip {
    const { members, values } = draft.state;
    const records = [...members.values()].filter(record =>
        buckets.has(bucketOf(record.hostId)) || (record.hostId === to && record.health !== "alive")
    );
    const chosen = [...values.values()].filter(value => buckets.has(bucketCount + bucketOf(value.host)));
    return draft.composeGossip(records.map(record => createUpdate(record, record.health !== "dead")), chosen);
}

function bucketOf(host: HostId): number {
    return hashText(host) % bucketCount;
}
