import type { HostId } from "@filbertrelay/kernel";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Gossip, MembershipMessage, PublishedValue } from "./message.js";
import { queueMember, queueValue, takeFromQueue } from "./queue.js";
import type { QueuedItem } from "./queue.js";
import { createUpdate } from "./record.js";
import type { MemberRecord, MemberUpdate } from "./record.js";
import type { MembershipEffect, MembershipState } from "./state.js";

type Tables = Pick<
    MembershipState,
    "members" | "values" | "queue" | "probes" | "relays" | "suspicions" | "accused" | "deadSinceMs"
>;
type TableName = keyof Tables;
type Key<Name extends TableName> = Tables[Name] extends ReadonlyMap<infer K, unknown> ? K : never;
type Value<Name extends TableName> = Tables[Name] extends ReadonlyMap<unknown, infer V> ? V : never;

/** Accumulates the changes of one step. Tables are copied on first write, so the previous state is never modified. */
export class Draft {
    readonly nowMs: number;
    readonly effects: MembershipEffect[] = [];
    #state: MembershipState;
    readonly #copied = new Set<TableName>();
    #random: RandomGenerator | undefined;

    constructor(state: MembershipState, nowMs: number) {
        this.#state = state;
        this.nowMs = nowMs;
    }

    /** The state with the changes so far. */
    get state(): MembershipState {
        return this.#state;
    }

    /** This node's own record. */
    get own(): MemberRecord {
        return this.#state.members.get(this.#state.self) as MemberRecord;
    }

    /** The number of members that are not dead. */
    get fleetSize(): number {
        return this.#state.members.size - this.#state.deadSinceMs.size;
    }

    /** Replaces fields that are not tables. */
    assign(fields: Partial<Omit<MembershipState, TableName>>): void {
        this.#state = { ...this.#state, ...fields };
    }

    /** Sets an entry of a table. */
    set<Name extends TableName>(table: Name, key: Key<Name>, value: Value<Name>): void {
        (this.#copy(table) as unknown as Map<Key<Name>, Value<Name>>).set(key, value);
    }

    /** Deletes an entry of a table. */
    delete<Name extends TableName>(table: Name, key: Key<Name>): void {
        const current = this.#state[table] as unknown as ReadonlyMap<Key<Name>, unknown>;
        if (current.has(key)) {
            (this.#copy(table) as unknown as Map<Key<Name>, unknown>).delete(key);
        }
    }

    /** Empties a table. */
    clear(table: TableName): void {
        this.#copied.add(table);
        this.#state = { ...this.#state, [table]: new Map() };
    }

    /** Returns the next probe sequence number. */
    nextSequence(): number {
        const { sequence } = this.#state;
        this.assign({ sequence: sequence % 0xffff_ffff + 1 });
        return sequence;
    }

    /** Returns a random integer in [0, bound). */
    randomInteger(bound: number): number {
        if (this.#random === undefined) {
            this.#random = this.#state.random.clone();
            this.assign({ random: this.#random });
        }
        return uniformInt(this.#random, 0, bound - 1);
    }

    /** Samples up to `count` distinct members that satisfy the condition, excluding this node. */
    sampleMembers(count: number, condition: (record: MemberRecord) => boolean): HostId[] {
        const { self, members } = this.#state;
        const candidates = [...members.values()].filter(record => record.hostId !== self && condition(record));
        const sampled: HostId[] = [];
        while (sampled.length < count && candidates.length > 0) {
            const [record] = candidates.splice(this.randomInteger(candidates.length), 1);
            sampled.push((record as MemberRecord).hostId);
        }
        return sampled;
    }

    /** Queues a member's record for broadcast. */
    enqueueMember(record: MemberRecord): void {
        this.set("queue", ...queueMember(createUpdate(record)));
    }

    /** Queues a value for broadcast. */
    enqueueValue(value: PublishedValue): void {
        this.set("queue", ...queueValue(value));
    }

    /** Restores an earlier queue, dropping what was queued since. */
    restoreQueue(queue: MembershipState["queue"]): void {
        this.#copied.delete("queue");
        this.#state = { ...this.#state, queue };
    }

    /** Takes the changes to piggyback on the next message to a host. A receiver that is not considered alive also gets its own record. */
    takeGossip(to: HostId, extra: readonly MemberUpdate[] = []): Gossip {
        const { queue, timing, members } = this.#state;
        const result = takeFromQueue(queue, { limitBytes: timing.piggybackBytes, fleetSize: this.fleetSize });
        if (result.queue !== queue) {
            this.#copied.add("queue");
            this.#state = { ...this.#state, queue: result.queue };
        }
        const receiver = members.get(to);
        const receiverUpdate = receiver === undefined || receiver.health === "alive" ? [] : [createUpdate(receiver)];
        return this.composeGossip(
            [...receiverUpdate, ...extra, ...result.taken.flatMap(updateOf)],
            result.taken.flatMap(valueOf),
        );
    }

    /** Creates gossip that holds only the given records and values. */
    composeGossip(updates: readonly MemberUpdate[], values: readonly PublishedValue[]): Gossip {
        return { updates, values, configurationVersion: this.#state.configurationVersion };
    }

    /** Sends a message. */
    send(to: HostId, message: MembershipMessage): void {
        this.effects.push({ kind: "send", to, message });
    }

    /** Sends a ping whose ack is not awaited by a probe. */
    sendPing(to: HostId, extra: readonly MemberUpdate[] = []): void {
        this.send(to, { kind: "ping", sequence: 0, gossip: this.takeGossip(to, extra) });
    }

    #copy(table: TableName): ReadonlyMap<unknown, unknown> {
        if (!this.#copied.has(table)) {
            this.#copied.add(table);
            this.#state = { ...this.#state, [table]: new Map<unknown, unknown>(this.#state[table]) };
        }
        return this.#state[table];
    }
}

function updateOf({ content }: QueuedItem): readonly MemberUpdate[] {
    return content.kind === "member" ? [content.update] : [];
}

function valueOf({ content }: QueuedItem): readonly PublishedValue[] {
    return content.kind === "value" ? [content.value] : [];
}
