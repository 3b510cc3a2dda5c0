import { FinalCounts, finalizeWindow } from "@filbertrelay/policy";
import type { CustomerCounts, StoredWindows } from "@filbertrelay/policy";
import assert from "node:assert/strict";
import { createSchedules, stepMs } from "./schedules.js";
import type { Step } from "./schedules.js";

/** Time that a takeover of the duties takes. */
const leaseMs = 3_000;

type UsageKind = "report" | "hear" | "hearAll" | "wait" | "takeOver" | "restore" | "restart" | "restartAll";

/** Schedules of a duty holder that reports, of hosts that hear of its counts, and of restores and takeovers. */
export const usageSteps = createSchedules<UsageKind>(["report", "report", "hearAll", "wait"], [
    "takeOver",
    "restore",
    "restart",
    "restartAll",
    "hear",
]);

const windowMs = 1_000;
/** Time after the end of a window after which its counts are final. */
const settleUsageMs = 1_000;
/** Longest time after which all hosts know what was written, unless they are restarted. */
const hearMs = 400;
/** Delay between storing and reporting final counts. */
const propagationMs = 600;

interface UsageHost {
    finals: FinalCounts;
    readonly count: number;
    era: number;
    eraKnownMs: number;
    heldSinceMs: number;
    readonly startedMs: number;
}

/** Duty holders that report the usage of windows while the store is restored. */
export class UsageSimulation {
    #nowMs = 0;
    #era = 1;
    #stored: StoredWindows = {};
    #snapshots: StoredWindows[] = [{}];
    #writtenMs = -Infinity;
    #hosts: UsageHost[] = [1, 2, 3].map(count => this.#createHost(count));
    #holder = 0;
    readonly #reported = new Map<number, CustomerCounts>();

    run(steps: readonly Step<UsageKind>[]): void {
        for (const { kind, host, pick } of steps) {
            this.#nowMs += stepMs;
            this.#step(kind, host, pick);
            // News reaches all hosts within a bound, except while the store is away.
            if (this.#nowMs - this.#writtenMs >= hearMs) {
                this.#hosts.forEach(each => this.#hear(each));
            }
        }
    }

    #createHost(count: number): UsageHost {
        return {
            finals: new FinalCounts(),
            count,
            era: 0,
            eraKnownMs: this.#nowMs,
            heldSinceMs: this.#nowMs,
            startedMs: this.#nowMs,
        };
    }

    #step(kind: UsageKind, index: number, pick: number): void {
        const host = this.#hosts[index]!;
        switch (kind) {
            case "report":
                return this.#report(this.#hosts[this.#holder]!);
            case "hear":
                return this.#hear(host);
            case "hearAll":
                return this.#hosts.forEach(each => this.#hear(each));
            case "wait":
                this.#nowMs += pick * stepMs / 2;
                return;
            case "takeOver":
                this.#holder = index;
                this.#nowMs += leaseMs;
                host.heldSinceMs = this.#nowMs;
                return;
            case "restore":
                this.#snapshots = this.#snapshots.slice(0, Math.max(1, this.#snapshots.length - pick));
                this.#stored = this.#snapshots.at(-1)!;
                this.#era += 1;
                return;
            case "restart":
                this.#hosts[index] = this.#createHost(host.count + 3);
                if (this.#holder === index) {
                    this.#step("takeOver", index, 0);
                }
                return;
            case "restartAll":
                this.#hosts = this.#hosts.map(each => this.#createHost(each.count + 3));
                this.#step("takeOver", index, 0);
        }
    }

    #hear(host: UsageHost): void {
        if (host.era !== this.#era) {
            host.era = this.#era;
            host.eraKnownMs = this.#nowMs;
        }
        host.finals.recordStored(this.#stored, this.#nowMs);
        for (const peer of this.#hosts) {
            for (const [window, counts] of Object.entries(peer.finals.missing() ?? {})) {
                host.finals.record(Number(window), counts, this.#nowMs);
            }
        }
    }

    #report(host: UsageHost): void {
        this.#hear(host);
        const last = Math.floor((this.#nowMs - settleUsageMs) / windowMs) - 1;
        const first = Math.max(
            0,
            last - 8,
            Math.min(Math.floor(host.startedMs / windowMs), ...Object.keys(this.#stored).map(Number)),
        );
        for (let window = first; window <= last; window += 1) {
            const known = host.finals.get(window);
            if (this.#stored[window]?.isFinal !== true) {
                this.#finalize(host, window);
                host.finals.recordStored(this.#stored, this.#nowMs);
            }
            else if (known !== undefined && this.#nowMs - known.knownMs >= propagationMs) {
                const counts = this.#reported.get(window) ?? known.counts;
                assert.deepEqual(known.counts, counts, `Window ${window} was reported with different counts.`);
                this.#reported.set(window, known.counts);
            }
        }
    }

    #finalize(host: UsageHost, window: number): void {
        this.#stored = finalizeWindow(window, {
            stored: this.#stored,
            finals: host.finals,
            era: this.#era,
            eraKnownMs: host.eraKnownMs,
            heldSinceMs: host.heldSinceMs,
            settledMs: number => (number + 1) * windowMs + settleUsageMs,
            count: number => this.#stored[number]?.counts ?? { crew: host.count },
            lastEnded: Math.floor(this.#nowMs / windowMs) - 1,
            retained: 20,
        });
        this.#snapshots.push(this.#stored);
        this.#writtenMs = this.#nowMs;
    }
}
