import type { Store, StoreChange, StoreIssue, StoreItem, StoreWatch } from "@filbertrelay/connectors";
import { StoreMirror } from "@filbertrelay/ingress";
import { createVirtualClock, failure, silentEventLog, success } from "@filbertrelay/kernel";
import type { Outcome, TransferProgress, VirtualClock } from "@filbertrelay/kernel";
import fc from "fast-check";
import assert from "node:assert/strict";

const configurationKey = "op/config";
const stepMs = 10;
/** As the host's client of the store: a response is given up after this long without a byte. */
const silenceMs = 700;
/** Most of a retry after a failed call. */
const retryMs = 600;
const settleMs = 20_000;
const heartbeatMs = 1_000;
const endpoints = 20;
const endpointBytes = 300;

/** Changes of a long value in quick succession, and the link over which a host reads them. */
export interface Storm {
    readonly bytesPerMs: number;
    readonly configurationBytes: number;
    readonly gapsMs: readonly number[];
    /** Time that the store takes for each response. */
    readonly delayMs: number;
    /** Whether responses name their length. */
    readonly hasLength: boolean;
    /** Nothing arrives in these spans. */
    readonly cuts: readonly { readonly atMs: number; readonly forMs: number; }[];
    /** When the store drops its history. */
    readonly compactionsMs: readonly number[];
}

/** Storms with the rates of links, lengths and gaps that deployments name; `cuts` is the largest number of cuts. */
export const drawStorms = (cuts: number): fc.Arbitrary<Storm> =>
    fc.record({
        bytesPerMs: fc.constantFrom(875, 1_250, 2_500, 17_500),
        configurationBytes: fc.integer({ min: 10_000, max: 480_000 }),
        gapsMs: fc.array(fc.integer({ min: 60, max: 700 }), { minLength: 3, maxLength: 25 }),
        delayMs: fc.constantFrom(4, 40, 240),
        hasLength: fc.boolean(),
        cuts: fc.array(fc.record({ atMs: fc.integer({ min: 500, max: 8_000 }), forMs: fc.integer({ min: 100, max: 1_500 }) }), {
            maxLength: cuts,
        }),
        compactionsMs: fc.array(fc.integer({ min: 500, max: 8_000 }), { maxLength: 2 }),
    });

/** What a store holds over time, and one host that reads it over a link. */
class StormStore {
    readonly items = new Map<string, StoreItem>();
    readonly abandonedAfter: number[] = [];
    #changes: StoreChange[] = [];
    #revision = 0;
    #droppedRevision = 0;

    constructor(readonly clock: VirtualClock, readonly storm: Storm) {}

    get client(): Store {
        const client: Partial<Store> = {
            era: 0,
            onEra: () => undefined,
            list: () => this.#list(),
            watch: (_, options) => this.#watch(options),
        };
        return client as Store;
    }

    /** Writes a value of a number of bytes, which its encoding makes a third longer. */
    write(key: string, name: string, bytes: number): void {
        this.#revision += 1;
        const item = { key, value: `${name} `.padEnd(Math.round(bytes * 3 / 4), "x"), revision: this.#revision };
        this.items.set(key, item);
        this.#changes.push(item);
    }

    compact(): void {
        this.#changes = [];
        this.#droppedRevision = this.#revision;
    }

    async #list(): Promise<Outcome<{ era: number; revision: number; items: readonly StoreItem[]; }, StoreIssue>> {
        await this.clock.sleep(this.storm.delayMs);
        const [revision, items] = [this.#revision, [...this.items.values()]];
        const issue = await this.#transfer(items);
        return issue === undefined ? success({ era: 0, revision, items }) : failure(issue);
    }

    async #watch(
        { after, waitMs, isWorthwhile }: StoreWatch,
    ): Promise<Outcome<{ era: number; revision: number; changes: readonly StoreChange[]; }, StoreIssue>> {
        await this.clock.sleep(this.storm.delayMs);
        const untilMs = this.clock.monotonicMs() + waitMs;
        while (this.#revision === after.revision && this.clock.monotonicMs() < untilMs) {
            await this.clock.sleep(stepMs);
        }
        if (after.revision < this.#droppedRevision) {
            return failure({ code: "store.historyGone", message: "The history is gone." });
        }
        const [revision, changes] = [this.#revision, this.#changes.filter(change => change.revision > after.revision)];
        const issue = await this.#transfer(changes, isWorthwhile);
        if (issue?.code === "store.abandoned") {
            this.abandonedAfter.push(after.revision);
        }
        return issue === undefined ? success({ era: 0, revision, changes }) : failure(issue);
    }

    /** Carries a response over the link; returns why it did not arrive whole. */
    async #transfer(
        values: readonly StoreChange[],
        isWorthwhile: StoreWatch["isWorthwhile"] = () => true,
    ): Promise<StoreIssue | undefined> {
        const { bytesPerMs, hasLength, cuts } = this.storm;
        const startMs = this.clock.monotonicMs();
        const totalBytes = values.reduce((sum, { value }) => sum + Math.ceil((value?.length ?? 0) * 4 / 3) + 80, 100);
        let progress: TransferProgress = { elapsedMs: 0, firstByteMs: 0, lastByteMs: 0, receivedBytes: 0 };
        while (progress.receivedBytes < totalBytes) {
            await this.clock.sleep(stepMs);
            const nowMs = this.clock.monotonicMs();
            const elapsedMs = nowMs - startMs;
            if (cuts.some(({ atMs, forMs }) => nowMs > atMs && nowMs <= atMs + forMs)) {
                if (elapsedMs - progress.lastByteMs! > silenceMs) {
                    return { code: "store.unavailable", message: "Silent." };
                }
                continue;
            }
            const receivedBytes = Math.min(totalBytes, progress.receivedBytes + bytesPerMs * stepMs);
            progress = { elapsedMs, firstByteMs: 0, lastByteMs: elapsedMs, receivedBytes, ...(hasLength ? { totalBytes } : {}) };
            if (!isWorthwhile(progress)) {
                return { code: "store.abandoned", message: "Not worthwhile." };
            }
        }
        return undefined;
    }
}

async function settle(): Promise<void> {
    for (let round = 0; round < 3; round += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

/**
 * Plays a storm before a host that must apply a change within `applyMs`. Each version must be in effect, or a newer one, within two
 * transfers of all items and four tenths of `applyMs`; cuts come on top.
 */
export async function playStorm(storm: Storm, applyMs: number): Promise<void> {
    const { bytesPerMs, configurationBytes, gapsMs, delayMs, cuts, compactionsMs } = storm;
    const clock = createVirtualClock();
    const store = new StormStore(clock, storm);
    const mirror = new StoreMirror({ store: store.client, clock, log: silentEventLog, draw: () => 0.5, applyMs });
    const writeEndpoints = (): void => {
        for (let index = 0; index < endpoints; index += 1) {
            store.write(`servers/${index}`, "endpoint", endpointBytes);
        }
    };
    store.write(configurationKey, "0", configurationBytes);
    writeEndpoints();
    let dueMs = 1_000;
    const versions = gapsMs.map((gapMs, index) => ({ version: index + 1, atMs: dueMs += gapMs }));
    const transferMs = (configurationBytes + endpoints * (endpointBytes + 80)) / bytesPerMs;
    // A compaction is answered with a call more, and each call waits for the store.
    const boundMs = 2 * transferMs + 0.4 * applyMs + 5 * delayMs + 10 * stepMs;
    await mirror.start();
    const pending = [...versions];
    const open: { readonly version: number; readonly untilMs: number; }[] = [];
    for (let nowMs = 0; nowMs < dueMs + boundMs + settleMs; nowMs += stepMs) {
        if (nowMs % heartbeatMs === 0) {
            writeEndpoints();
        }
        compactionsMs.filter(atMs => atMs >= nowMs && atMs < nowMs + stepMs).forEach(() => store.compact());
        while (pending[0] !== undefined && pending[0].atMs <= nowMs) {
            const { version, atMs } = pending.shift()!;
            store.write(configurationKey, String(version), configurationBytes);
            open.push({ version, untilMs: extend(atMs, boundMs, cuts) });
        }
        clock.advance(stepMs);
        await settle();
        const applied = Number(mirror.get(configurationKey)?.value.split(" ")[0] ?? -1);
        while (open[0] !== undefined && (open[0].version <= applied || open[0].untilMs < nowMs)) {
            const { version, untilMs } = open.shift()!;
            assert.ok(version <= applied, `Version ${applied} at ${nowMs} ms, when ${version} was due at ${untilMs} ms.`);
        }
        if (pending.length === 0 && open.length === 0) {
            break;
        }
    }
    assert.equal(pending.length + open.length, 0, "Versions are left.");
    const asked = store.abandonedAfter.map(revision => store.abandonedAfter.filter(other => other === revision).length);
    assert.ok(Math.max(0, ...asked) <= 1 + cuts.length, `The same changes were asked for ${Math.max(...asked)} times.`);
    const stopped = mirror.stop();
    for (let round = 0; round < settleMs / stepMs; round += 1) {
        clock.advance(stepMs);
        await settle();
        if (await Promise.race([stopped.then(() => true), Promise.resolve(false)])) {
            return;
        }
    }
}

/** When a version is due whose time runs while nothing arrives; a cut also costs a silence and a retry. */
function extend(atMs: number, boundMs: number, cuts: Storm["cuts"]): number {
    return [...cuts].sort((first, second) => first.atMs - second.atMs).reduce(
        (untilMs, cut) =>
            cut.atMs <= untilMs && cut.atMs + cut.forMs + silenceMs + retryMs >= atMs ?
                Math.max(untilMs, cut.atMs + cut.forMs + silenceMs + retryMs + boundMs) :
                untilMs,
        atMs + boundMs,
    );
}
