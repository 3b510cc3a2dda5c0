import type { HostId } from "@filbertrelay/kernel";
import { hashText } from "../rendezvous.js";
import type { Draft } from "./draft.js";
import { applyRecords } from "./gossip.js";
import type { Gossip, MembershipMessage } from "./message.js";
import { describeRecord } from "./record.js";
import type { MembershipState } from "./state.js";

// Records are compared in buckets, so that one exchange moves little when nearly all records agree. Values have buckets of their own,
// since they change all the time and would otherwise carry the records along.
const bucketCount = 16;
const recordBucketsPerExchange = 2;
const valueBucketsPerExchange = 1;

/** Sends the hashes of all buckets to a host, which answers with the records of buckets that differ. */
export function startSync(draft: Draft, host: HostId, isJoining: boolean): void {
    const own = isJoining ? [describeRecord(draft.own, true)] : [];
    draft.send(host, { kind: "sync", hashes: hashBuckets(draft.state), isJoining, gossip: draft.takeGossip(host, own) });
}

/** Answers a `sync`. */
export function answerSync(draft: Draft, from: HostId, message: MembershipMessage & { readonly kind: "sync"; }): void {
    const hashes = hashBuckets(draft.state);
    const differing = findDiffering(hashes, message.hashes);
    const buckets = message.isJoining ? new Set(hashes.keys()) : drawBuckets(draft, differing);
    draft.send(from, { kind: "syncReply", hashes, isComplete: message.isJoining, gossip: describeBuckets(draft, buckets, from) });
}

/** Applies the records of a `syncReply` and gives the peer this node's records of buckets that still differ. */
export function finishSync(draft: Draft, from: HostId, message: MembershipMessage & { readonly kind: "syncReply"; }): void {
    applyRecords(draft, message.gossip, !message.isComplete);
    const buckets = drawBuckets(draft, findDiffering(hashBuckets(draft.state), message.hashes));
    if (buckets.size > 0) {
        draft.send(from, { kind: "push", gossip: describeBuckets(draft, buckets, from) });
    }
}

/** Hashes the records of each bucket, then the value versions of each bucket; equal tables give equal hashes. */
export function hashBuckets(state: MembershipState): number[] {
    const hashes = Array<number>(2 * bucketCount).fill(0);
    const add = (bucket: number, text: string) => {
        // A sum does not depend on the order of the table.
        hashes[bucket] = ((hashes[bucket] ?? 0) + hashText(text)) >>> 0;
    };
    for (const { hostId, incarnation, refutations, isLeaving, health } of state.members.values()) {
        // Suspicions are short and dead members are forgotten at different times; both would make buckets differ all the time.
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

function drawBuckets(draft: Draft, differing: readonly number[]): Set<number> {
    return new Set([
        ...drawSome(draft, differing.filter(bucket => bucket < bucketCount), recordBucketsPerExchange),
        ...drawSome(draft, differing.filter(bucket => bucket >= bucketCount), valueBucketsPerExchange),
    ]);
}

function drawSome(draft: Draft, items: readonly number[], count: number): number[] {
    const rest = [...items];
    const drawn: number[] = [];
    while (drawn.length < count && rest.length > 0) {
        drawn.push(...rest.splice(draft.draw(rest.length), 1));
    }
    return drawn;
}

function describeBuckets(draft: Draft, buckets: ReadonlySet<number>, to: HostId): Gossip {
    const { members, values } = draft.state;
    const records = [...members.values()].filter(record =>
        buckets.has(bucketOf(record.hostId)) || (record.hostId === to && record.health !== "alive")
    );
    const chosen = [...values.values()].filter(value => buckets.has(bucketCount + bucketOf(value.host)));
    return draft.composeGossip(records.map(record => describeRecord(record, record.health !== "dead")), chosen);
}

function bucketOf(host: HostId): number {
    return hashText(host) % bucketCount;
}
