import { createCrashId } from "../suspects/crash.js";
import type { EndpointProcess } from "./endpointnotices.js";

/** What a host tells others of endpoints whose entries may describe an earlier run; times are ages in milliseconds. */
export type RunReport = Readonly<Record<string, { readonly firstAgeMs: number; readonly lastAgeMs: number; }>>;

interface Refusals {
    readonly firstMs: number;
    readonly lastMs: number;
}

/** Refusals are remembered for this long, longer than any stream lasts. */
const retentionMs = 120_000;

/**
 * Tells whether the entry of an endpoint describes the process that answers. A process that refuses connections has ended; the next one
 * under the same id may run other software, and its entry is older until the store has been read long enough after that.
 */
export class EndpointRuns {
    readonly #settleMs: number;
    /** By the id and the start time that the entry states. */
    readonly #refusals = new Map<string, Refusals>();

    /** `settleMs` is the time within which an entry is replaced or removed after the process that wrote it has ended. */
    constructor(settleMs: number) {
        this.#settleMs = settleMs;
    }

    /** Records that nothing listened at the address of an endpoint. `confirmedMs` is as in `isKnown`. Returns whether that is news. */
    recordRefusal({ endpointId, startedAtMs }: EndpointProcess, confirmedMs: number, nowMs: number): boolean {
        const id = createCrashId(endpointId, startedAtMs);
        const known = this.#refusals.get(id);
        const isNews = known === undefined || this.#isSettled(known, confirmedMs);
        this.#refusals.set(id, { firstMs: isNews ? nowMs : known.firstMs, lastMs: nowMs });
        return isNews;
    }

    /**
     * Whether an answer that began at a time was written by the process that the entry describes. `confirmedMs` is a time at which this
     * host's copy of the store held everything that the store held.
     */
    isKnown({ endpointId, startedAtMs }: EndpointProcess, beganMs: number, confirmedMs: number): boolean {
        const refusals = this.#refusals.get(createCrashId(endpointId, startedAtMs));
        return refusals === undefined || beganMs < refusals.firstMs || this.#isSettled(refusals, confirmedMs);
    }

    /** Returns what to tell other hosts; `undefined` if there is nothing. */
    report(nowMs: number): RunReport | undefined {
        [...this.#refusals].filter(([, { lastMs }]) => nowMs - lastMs > retentionMs).forEach(([id]) => this.#refusals.delete(id));
        const recent = [...this.#refusals].filter(([, { lastMs }]) => nowMs - lastMs <= this.#settleMs);
        return recent.length === 0 ? undefined : Object.fromEntries(
            recent.map(([id, { firstMs, lastMs }]) => [id, { firstAgeMs: nowMs - firstMs, lastAgeMs: nowMs - lastMs }]),
        );
    }

    /** Takes over what another host has found. `elapsedMs` is how long ago its report was written at most. */
    merge(report: RunReport, nowMs: number, elapsedMs: number): void {
        for (const [id, { firstAgeMs, lastAgeMs }] of Object.entries(report)) {
            const known = this.#refusals.get(id);
            this.#refusals.set(id, {
                firstMs: Math.min(known?.firstMs ?? Infinity, nowMs - firstAgeMs - elapsedMs),
                // The earliest possible time, since hosts that tell each other would put off a later one for ever.
                lastMs: Math.max(known?.lastMs ?? -Infinity, nowMs - lastAgeMs - elapsedMs),
            });
        }
    }

    #isSettled({ lastMs }: Refusals, confirmedMs: number): boolean {
        return confirmedMs >= lastMs + this.#settleMs;
    }
}
