import { createHash } from "node:crypto";
import type { Candidate } from "./message.js";
import type { Holder } from "./value.js";

/** The number of standbys of a shard where there are enough failure domains. */
export const standbyCount = 2;

/** Hashes customer and idempotency key; the same key of another customer is another key. */
export function digestKey(customer: string, idempotencyKey: string): string {
    return createHash("sha256").update(JSON.stringify([customer, idempotencyKey])).digest("hex").slice(0, 32);
}

/** The shard of a digest. */
export function shardOf(digest: string, shardCount: number): number {
    return Number.parseInt(digest.slice(0, 8), 16) % shardCount;
}

/** Orders hosts for a shard by rendezvous hashing, so that all nodes agree without messages. */
export function rankHosts<T extends { readonly host: string; }>(shard: number, generation: number, hosts: readonly T[]): T[] {
    const weighted = hosts.map(host => ({ host, weight: hashWeight(`${generation}/${shard}/${host.host}`) }));
    return weighted.sort((left, right) => left.weight < right.weight ? 1 : -1).map(({ host }) => host);
}

function hashWeight(text: string): string {
    return createHash("sha256").update(text).digest("hex").slice(0, 16);
}

/** Chooses standbys among live members in failure domains other than the owner's, one per domain where possible. */
export function chooseStandbys(owner: Holder, ranked: readonly Candidate[]): Holder[] {
    const domain = ranked.find(candidate => candidate.host === owner.host)?.failureDomain;
    const live = ranked.filter(candidate => candidate.state === "alive" && candidate.host !== owner.host);
    const elsewhere = live.filter(candidate => candidate.failureDomain !== domain);
    const distinct = elsewhere.filter((candidate, index) =>
        elsewhere.findIndex(other => other.failureDomain === candidate.failureDomain) === index
    );
    const ordered = [...distinct, ...elsewhere.filter(candidate => !distinct.includes(candidate))];
    return ordered.slice(0, standbyCount).map(({ host, incarnation }) => ({ host, incarnation }));
}
