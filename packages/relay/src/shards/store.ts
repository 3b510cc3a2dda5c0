import type { KeyValueIssue, StoredValue } from "@filbertrelay/connectors";
import { parseJson } from "@filbertrelay/kernel";
import type { Outcome } from "@filbertrelay/kernel";
import type { ShardValue, VersionedValue } from "@filbertrelay/policy";
import * as z from "zod";
import type { ShardContext } from "./context.js";
import { shardEvents } from "./event.js";
import { shardValueSchema } from "./topic.js";

type SealedKey = readonly [string, number];

const segmentSchema = z.array(z.tuple([z.string(), z.number()]));
const hourMs = 3_600_000;
/** Attempts at a segment write that conflicts with another writer, before it is left to a later retry by the state machine. */
const segmentWriteAttempts = 4;

/** Reads and writes the value and the sealed segments of one shard. */
export class ShardStore {
    readonly #context: ShardContext;
    readonly #key: string;
    readonly #segmentPrefix: string;

    constructor(context: ShardContext, shard: number) {
        this.#context = context;
        this.#key = `shards/${context.generation}/${shard}`;
        this.#segmentPrefix = `segments/${context.generation}/${shard}/`;
    }

    /** Reads the value; an invalid value counts as unavailable, so that no decision is based on it. */
    async read(): Promise<VersionedValue | "missing" | "unavailable"> {
        const outcome = await this.#context.keyValue.get(this.#key, "shards");
        if (!outcome.ok) {
            return "unavailable";
        }
        return outcome.value === undefined ? "missing" : this.#parse(outcome.value);
    }

    #parse(stored: StoredValue): VersionedValue | "unavailable" {
        const parsed = shardValueSchema.safeParse(parseJson(stored.value));
        if (!parsed.success) {
            this.#context.log.write(shardEvents.invalidValue, { key: stored.key });
            return "unavailable";
        }
        return { version: stored.version, value: parsed.data as unknown as ShardValue };
    }

    /** Writes the value by compare-and-swap and returns the new version. */
    async write(value: ShardValue, expectedVersion: number): Promise<number | "conflict" | "unavailable"> {
        const outcome = await this.#context.keyValue.compareAndSwap(this.#key, JSON.stringify(value), {
            expectedVersion,
            purpose: "shards",
        });
        if (outcome.ok) {
            return outcome.value;
        }
        if (outcome.issue.code === "keyValue.tooLarge") {
            this.#context.log.write(shardEvents.valueTooLarge, { key: this.#key });
        }
        return outcome.issue.code === "keyValue.conflict" ? "conflict" : "unavailable";
    }

    /** Reads all sealed keys; `undefined` when the key-value service can't be reached. */
    async readSegments(): Promise<readonly SealedKey[] | undefined> {
        const outcome = await this.#context.keyValue.list(this.#segmentPrefix, "shards");
        if (!outcome.ok) {
            return undefined;
        }
        const segments = outcome.value.map(stored => parseSegment(stored.value));
        return segments.every(segment => segment !== undefined) ? segments.flat() : undefined;
    }

    /** Adds keys to the segments of the hours in which they expire; true when all of them are written. */
    async writeSegments(keys: readonly SealedKey[]): Promise<boolean> {
        const keysBySegment = new Map<string, SealedKey[]>();
        for (const sealed of keys) {
            const segment = this.#segmentKey(sealed[1]);
            keysBySegment.set(segment, [...keysBySegment.get(segment) ?? [], sealed]);
        }
        for (const [segment, sealed] of keysBySegment) {
            if (!await this.#extendSegment(segment, sealed)) {
                return false;
            }
        }
        return true;
    }

    /** Segments form a ring of hours and are reused, because the key-value service offers no deletion. */
    #segmentKey(untilMs: number): string {
        const ringSize = Math.ceil(this.#context.keyRetentionMs / hourMs) + 2;
        return `${this.#segmentPrefix}${Math.floor(untilMs / hourMs) % ringSize}`;
    }

    async #extendSegment(key: string, sealed: readonly SealedKey[]): Promise<boolean> {
        const nowMs = this.#context.clock.now().getTime();
        for (let attempt = 0; attempt < segmentWriteAttempts; attempt++) {
            const stored = await this.#context.keyValue.get(key, "shards");
            const storedKeys = stored.ok ? parseSegment(stored.value?.value ?? "[]") : undefined;
            if (!stored.ok || storedKeys === undefined) {
                return false;
            }
            const merged = new Map([...storedKeys.filter(([, untilMs]) => untilMs > nowMs), ...sealed]);
            const written = await this.#compareAndSwap(key, JSON.stringify([...merged]), stored.value?.version ?? 0);
            if (written.ok) {
                return true;
            }
        }
        return false;
    }

    #compareAndSwap(key: string, value: string, expectedVersion: number): Promise<Outcome<number, KeyValueIssue>> {
        return this.#context.keyValue.compareAndSwap(key, value, { expectedVersion, purpose: "shards" });
    }
}

function parseSegment(text: string): SealedKey[] | undefined {
    const parsed = segmentSchema.safeParse(parseJson(text));
    return parsed.success ? parsed.data : undefined;
}
