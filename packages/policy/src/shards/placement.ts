import { createHash } from "node:crypto";
import type { Candidate } from "./message.js";
import type { Holder } from "./value.js";

/** The number of standbys of a shard if there are enough hosts in other failure domains. */
export const standbyCount = 2;

/** Hashes customer and idempotency key, so that equal keys of different customers are distinct. */
export function digestKey(customer: string, idempotencyKey: string): string {
    return createHash("sha256").update(JSON.stringify([customer, idempotencyKey])).digest("hex").slice(0, 32);
}

/** Returns the shard of a digest. */
export function shardOf(digest: string, shardCount: number): number {
    return Number.parseInt(digest.slice(0, 8), 16) % shardCount;
}

/** Ranks hosts for a shard by rendezvous hashing, so that all nodes agree without communication. */
export function rankHosts<T extends { readonly host: string; }>(shard: number, generation: number, hosts: readonly T[]): T[] {
    const weighted = hosts.map(host => ({ host, weight: hashWeight(`${generation}/${shard}/${host.host}`) }));
    return weighted.sort((left, right) => left.weight < right.weight ? 1 : -1).map(({ host }) => host);
}

function hashWeight(text: string): string {
    return createHash("sha256").update(text).digest("hex").slice(0, 16);
}

/** Chooses standbys among live members in failure domains other than the owner's, one per domain where possible. */
export function chooseStandbys(owner: Holder, ranked: readonly Candidate[]): Holder[] {
    const ownerDomain = ranked.find(candidate => candidate.host === owner.host)?.failureDomain;
    const live = ranked.filter(candidate => candidate.state === "alive" && candidate.host !== owner.host);
    const otherDomains = live.filter(candidate => candidate.failureDomain !== ownerDomain);
    const onePerDomain = otherDomains.filter((candidate, index) =>
        otherDomains.findIndex(other => other.failureDomain === candidate.failureDomain) === index
    );
    const ordered = [...onePerDomain, ...otherDomains.filter(candidate => !onePerDomain.includes(candidate))];
    return ordered.slice(0, standbyCount).map(({ host, incarnation }) => ({ host, incarnation }));
}
