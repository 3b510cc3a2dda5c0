import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { parseArgs } from "node:util";
import { Random } from "./check/random.js";
import { createShardState, stepShard } from "./index.js";
import type { Holder, ShardEffect, ShardInput, ShardState, VersionedValue } from "./index.js";

const { values } = parseArgs({
    options: {
        shards: { type: "string", default: "16" },
        batch: { type: "string", default: "400" },
        seconds: { type: "string", default: "120" },
        latency: { type: "string", default: "4" },
        endpoint: { type: "string", default: "50" },
    },
});

const shardCount = Number(values.shards);
const measuredMs = Number(values.seconds) * 1_000;
const keyValueMs = Number(values.latency);
const endpointMs = Number(values.endpoint);
const callerWaitMs = 10_000;

interface Event {
    readonly atMs: number;
    readonly run: () => void;
}

/** Simulates the owners of all shards on a virtual clock, with fixed latencies for the key-value service and the endpoints. */
class LoadSimulation {
    readonly addedDelay: Histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000,
        numberOfSignificantValueDigits: 3,
    });
    writes = 0;
    reads = 0;
    answered = 0;
    refused = 0;
    readonly #machines: ShardState[];
    readonly #stored = new Map<number, VersionedValue>();
    readonly #submittedAtMs = new Map<string, number>();
    readonly #buckets = new Map<number, Event[]>();
    #nowMs = 0;

    constructor(batchIntervalMs: number) {
        this.#machines = Array.from({ length: shardCount }, (_, shard) =>
            createShardState({
                self: { host: "h0", incarnation: "1-a" } as Holder,
                shard,
                batchIntervalMs,
                writeBurst: 4,
                retryMs: 500,
                resultRetentionMs: 60_000,
                keyRetentionMs: 86_400_000,
                openEntryLimit: 512,
                resultBytesLimit: 524_288,
                disabledRules: new Set(),
            }));
    }

    /** Submits keys at random times at the given mean rate and runs the clock to the end. */
    run(requestsPerSecond: number): void {
        const random = new Random(7);
        const total = Math.round(requestsPerSecond * measuredMs / 1_000);
        for (let index = 0; index < total; index++) {
            const atMs = random.below(measuredMs);
            this.#scheduleAt(atMs, () => this.#submit(index, random.below(shardCount)));
        }
        for (this.#nowMs = 0; this.#nowMs < measuredMs; this.#nowMs++) {
            const due = this.#buckets.get(this.#nowMs) ?? [];
            for (const event of due) {
                event.run();
            }
            this.#buckets.delete(this.#nowMs);
        }
    }

    #scheduleAt(atMs: number, run: () => void): void {
        const slot = Math.max(this.#nowMs, Math.ceil(atMs));
        const bucket = this.#buckets.get(slot);
        if (bucket === undefined) {
            this.#buckets.set(slot, [{ atMs, run }]);
        }
        else {
            bucket.push({ atMs, run });
        }
    }

    #submit(call: number, shard: number): void {
        const key = `k${call}`;
        this.#submittedAtMs.set(key, this.#nowMs);
        const deadlineMs = this.#nowMs + callerWaitMs;
        const request = { key, fingerprint: "f", customer: "c", service: "s", operation: "o", endpoints: ["e"] };
        this.#step(shard, { type: "submit", call, ...request, resolution: "none", deadlineMs });
    }

    #step(shard: number, input: ShardInput): void {
        const machine = this.#machines[shard];
        if (machine === undefined) {
            return;
        }
        const { state, effects } = stepShard(machine, { input, nowMs: this.#nowMs });
        this.#machines[shard] = state;
        effects.forEach(effect => this.#execute(shard, effect));
    }

    #execute(shard: number, effect: ShardEffect): void {
        if (effect.type === "write") {
            this.writes += 1;
            const version = (this.#stored.get(shard)?.version ?? 0) + 1;
            this.#stored.set(shard, { version, value: effect.value });
            this.#scheduleInput(shard, keyValueMs, { type: "written", token: effect.token, result: version });
        }
        else if (effect.type === "read" || effect.type === "readSegments") {
            this.reads += 1;
            const result = this.#stored.get(shard) ?? "missing";
            this.#scheduleInput(
                shard,
                keyValueMs,
                effect.type === "read" ? { type: "read", result } : { type: "segments", keys: [] },
            );
        }
        else if (effect.type === "writeSegment") {
            // Writing a segment takes a read and a compare-and-swap.
            this.reads += 1;
            this.writes += 1;
            this.#scheduleInput(shard, 2 * keyValueMs, {
                type: "segmentWritten",
                keys: effect.keys.map(([key]) => key),
                ok: true,
            });
        }
        else if (effect.type === "send") {
            this.addedDelay.recordValue(this.#nowMs - (this.#submittedAtMs.get(effect.key) ?? 0));
            const outcome = { type: "response" as const, response: { status: 200, headers: {}, body: "b3JkZXIgYWNjZXB0ZWQ=" } };
            this.#scheduleInput(shard, endpointMs, { type: "sent", intent: effect.intent, endpoint: effect.endpoint, outcome });
        }
        else if (effect.type === "wake") {
            this.#scheduleAt(effect.atMs, () => this.#step(shard, { type: "timer" }));
        }
        else if (effect.type === "answer") {
            this.answered += effect.answer.ok ? 1 : 0;
            this.refused += effect.answer.ok ? 0 : 1;
        }
    }

    #scheduleInput(shard: number, delayMs: number, input: ShardInput): void {
        this.#scheduleAt(this.#nowMs + delayMs, () => this.#step(shard, input));
    }
}

console.log("| requests/s | writes/s | reads/s | added p50 ms | p95 ms | p99 ms | max ms | answered | refused |");
console.log("|---|---|---|---|---|---|---|---|---|");
for (const rate of [1, 5, 10, 20, 40, 80, 160]) {
    const simulation = new LoadSimulation(Number(values.batch));
    simulation.run(rate);
    const seconds = measuredMs / 1_000;
    const delays = [50, 95, 99, 100].map(percentile => simulation.addedDelay.getValueAtPercentile(percentile));
    const rates = [simulation.writes / seconds, simulation.reads / seconds].map(value => value.toFixed(1));
    console.log(`| ${[rate, ...rates, ...delays, simulation.answered, simulation.refused].join(" | ")} |`);
}
