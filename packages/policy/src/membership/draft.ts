import type { HostId } from "@filbertrelay/kernel";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Gossip, MembershipMessage, PublishedValue } from "./message.js";
import { queueMember, queueValue, takeFromQueue } from "./queue.js";
import type { QueuedItem } from "./queue.js";
import { describeRecord } from "./record.js";
import type { MemberRecord, MemberUpdate } from "./record.js";
import type { MembershipEffect, MembershipState } from "./state.js";

type Tables = Pick<
    MembershipState,
    "members" | "values" | "queue" | "probes" | "relays" | "suspicions" | "accused" | "deadSinceMs"
>;
type TableName = keyof Tables;
type Key<Name extends TableName> = Tables[Name] extends ReadonlyMap<infer K, unknown> ? K : never;
type Value<Name extends TableName> = Tables[Name] extends ReadonlyMap<unknown, infer V> ? V : never;

/** Collects the changes of one step; a table is copied when it is first changed, so that the former state stays as it was. */
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

    /** The record of this node. */
    get own(): MemberRecord {
        return this.#state.members.get(this.#state.self) as MemberRecord;
    }

    /** The number of members that are not dead. */
    get fleetSize(): number {
        return this.#state.members.size - this.#state.deadSinceMs.size;
    }

    /** Replaces plain fields. */
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

    /** The next number for a probe. */
    nextSequence(): number {
        const { sequence } = this.#state;
        this.assign({ sequence: sequence % 0xffff_ffff + 1 });
        return sequence;
    }

    /** Draws an integer from 0 up to but not including the bound. */
    draw(bound: number): number {
        if (this.#random === undefined) {
            this.#random = this.#state.random.clone();
            this.assign({ random: this.#random });
        }
        return uniformInt(this.#random, 0, bound - 1);
    }

    /** Draws up to `count` different members that satisfy the condition, never this node. */
    drawMembers(count: number, condition: (record: MemberRecord) => boolean): HostId[] {
        const { self, members } = this.#state;
        const candidates = [...members.values()].filter(record => record.hostId !== self && condition(record));
        const drawn: HostId[] = [];
        while (drawn.length < count && candidates.length > 0) {
            const [record] = candidates.splice(this.draw(candidates.length), 1);
            drawn.push((record as MemberRecord).hostId);
        }
        return drawn;
    }

    /** Starts to spread a member's record. */
    spreadMember(record: MemberRecord): void {
        this.set("queue", ...queueMember(describeRecord(record)));
    }

    /** Starts to spread a value. */
    spreadValue(value: PublishedValue): void {
        this.set("queue", ...queueValue(value));
    }

    /** Takes back what was queued since the queue was read. */
    restoreQueue(queue: MembershipState["queue"]): void {
        this.#copied.delete("queue");
        this.#state = { ...this.#state, queue };
    }

    /** Takes the changes that travel with the next message to a host; a host that is not held for alive is told so first. */
    takeGossip(to: HostId, extra: readonly MemberUpdate[] = []): Gossip {
        const { queue, timing, members } = this.#state;
        const result = takeFromQueue(queue, { limitBytes: timing.piggybackBytes, fleetSize: this.fleetSize });
        if (result.queue !== queue) {
            this.#copied.add("queue");
            this.#state = { ...this.#state, queue: result.queue };
        }
        const receiver = members.get(to);
        const accusation = receiver === undefined || receiver.health === "alive" ? [] : [describeRecord(receiver)];
        return this.composeGossip([...accusation, ...extra, ...result.taken.flatMap(updateOf)], result.taken.flatMap(valueOf));
    }

    /** Composes gossip of the given records and values only. */
    composeGossip(updates: readonly MemberUpdate[], values: readonly PublishedValue[]): Gossip {
        return { updates, values, configurationVersion: this.#state.configurationVersion };
    }

    /** Sends a message. */
    send(to: HostId, message: MembershipMessage): void {
        this.effects.push({ kind: "send", to, message });
    }

    /** Sends a ping that no probe waits for. */
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
