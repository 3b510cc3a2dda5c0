import { brandAs } from "@filbertrelay/kernel";
import type { FailureDomainId, HostId, Incarnation } from "@filbertrelay/kernel";
import type { Gossip, MembershipMessage, MemberUpdate, PublishedValue } from "@filbertrelay/policy";
import { declareTopic } from "@filbertrelay/wire";
import * as z from "zod";

const hostIdSchema = z.string().min(1).max(100).transform(value => brandAs<HostId>(value));
const sequenceSchema = z.int().min(0).max(0xffff_ffff);
const addressSchema = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/);
const healthNames = ["alive", "suspect", "dead"] as const;
const leavingFlag = 4;

/** Host id, incarnation, refutations, health and leaving flag; then failure domain, peer address and caller address if included. */
const updateSchema = z.tuple([
    hostIdSchema,
    z.string().regex(/^\d{1,15}-[0-9a-z]{1,20}$/).transform(value => brandAs<Incarnation>(value)),
    z.int().min(0),
    z.int().min(0).max(6).refine(flags => flags % leavingFlag < healthNames.length, "Unknown health value."),
    z.string().min(1).max(100).transform(value => brandAs<FailureDomainId>(value)).optional(),
    addressSchema.optional(),
    addressSchema.optional(),
]).transform(decodeUpdate);

/** Host, version and value. */
const valueSchema = z.tuple([hostIdSchema, z.number().min(0), z.unknown()]);

const gossipSchema = z.strictObject({
    updates: z.array(updateSchema).max(10_000).optional(),
    /** Values by name. */
    values: z.record(z.string().min(1).max(100), z.array(valueSchema).max(10_000)).optional(),
    version: z.int().min(0),
}).transform((wire): Gossip => ({
    updates: wire.updates ?? [],
    values: Object.entries(wire.values ?? {}).flatMap(([name, values]) => values.map(value => decodeValue(name, value))),
    configurationVersion: wire.version,
}));

const hashesSchema = z.array(z.int().min(0).max(0xffff_ffff)).max(256);
const pingReplySchema = z.strictObject({ isReached: z.boolean(), gossip: gossipSchema });

/** Probes a peer; the reply acknowledges it. */
export const pingTopic = declareTopic("membership.ping", {
    request: z.strictObject({ sequence: sequenceSchema, gossip: gossipSchema }),
    reply: pingReplySchema,
});

/** Asks a peer to probe a target on behalf of the sender. */
export const pingRequestTopic = declareTopic("membership.pingRequest", {
    request: z.strictObject({ sequence: sequenceSchema, target: hostIdSchema, gossip: gossipSchema }),
    reply: pingReplySchema,
});

/** Compares the membership tables of two hosts by their hashes. */
export const syncTopic = declareTopic("membership.sync", {
    request: z.strictObject({ hashes: hashesSchema, isJoining: z.boolean(), gossip: gossipSchema }),
    reply: z.strictObject({ hashes: hashesSchema, isComplete: z.boolean(), gossip: gossipSchema }),
});

/** Sends records that the receiver of a `membership.sync` turned out to lack. */
export const pushTopic = declareTopic("membership.push", {
    request: z.strictObject({ gossip: gossipSchema }),
    reply: z.strictObject({}),
});

function encodeGossip(gossip: Gossip): z.input<typeof gossipSchema> {
    const values: Record<string, z.input<typeof valueSchema>[]> = {};
    for (const { name, host, version, value } of gossip.values) {
        (values[name] ??= []).push([host, version, value]);
    }
    return {
        ...(gossip.updates.length > 0 ? { updates: gossip.updates.map(encodeUpdate) } : {}),
        ...(gossip.values.length > 0 ? { values } : {}),
        version: gossip.configurationVersion,
    };
}

/** Encodes a ping. */
export function encodePing(message: MembershipMessage & { readonly kind: "ping"; }): z.input<typeof pingTopic.request> {
    return { sequence: message.sequence, gossip: encodeGossip(message.gossip) };
}

/** Encodes an indirect ping request. */
export function encodePingRequest(
    message: MembershipMessage & { readonly kind: "pingRequest"; },
): z.input<typeof pingRequestTopic.request> {
    return { sequence: message.sequence, target: message.target, gossip: encodeGossip(message.gossip) };
}

/** Encodes the request of an anti-entropy exchange. */
export function encodeSync(message: MembershipMessage & { readonly kind: "sync"; }): z.input<typeof syncTopic.request> {
    return { hashes: [...message.hashes], isJoining: message.isJoining, gossip: encodeGossip(message.gossip) };
}

/** Encodes records that a peer lacks. */
export function encodePush(message: MembershipMessage & { readonly kind: "push"; }): z.input<typeof pushTopic.request> {
    return { gossip: encodeGossip(message.gossip) };
}

/** Encodes the reply to a ping or ping request. */
export function encodePingReply(
    message: MembershipMessage & { readonly kind: "ack" | "nack"; },
): z.input<typeof pingReplySchema> {
    return { isReached: message.kind === "ack", gossip: encodeGossip(message.gossip) };
}

/** Encodes the reply to a sync. */
export function encodeSyncReply(message: MembershipMessage & { readonly kind: "syncReply"; }): z.input<typeof syncTopic.reply> {
    return { hashes: [...message.hashes], isComplete: message.isComplete, gossip: encodeGossip(message.gossip) };
}

function encodeUpdate(update: MemberUpdate): z.input<typeof updateSchema> {
    const flags = healthNames.indexOf(update.health) + (update.isLeaving ? leavingFlag : 0);
    const { hostId, incarnation, refutations, details } = update;
    if (details === undefined) {
        return [hostId, incarnation, refutations, flags];
    }
    return [hostId, incarnation, refutations, flags, details.failureDomain, details.peerAddress, details.callerAddress];
}

function decodeUpdate(
    [hostId, incarnation, refutations, flags, failureDomain, peerAddress, callerAddress]: [
        HostId,
        Incarnation,
        number,
        number,
        FailureDomainId?,
        string?,
        string?,
    ],
): MemberUpdate {
    const health = healthNames[flags % leavingFlag] ?? "alive";
    const update = { hostId, incarnation, refutations, isLeaving: flags >= leavingFlag, health };
    if (failureDomain === undefined || peerAddress === undefined || callerAddress === undefined) {
        return update;
    }
    return { ...update, details: { failureDomain, peerAddress, callerAddress } };
}

function decodeValue(name: string, [host, version, value]: z.output<typeof valueSchema>): PublishedValue {
    return { name, host, version, value };
}
