import type { Store } from "@filbertrelay/connectors";
import { RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, Service } from "@filbertrelay/kernel";
import type { CustomerCounts, FleetClock, UsageLedger } from "@filbertrelay/policy/ingress";
import { z } from "zod";
import type { DutyCalls } from "../contract.js";
import { fleetEvents as events } from "../fleet/event.js";
import { ownPrefix } from "../fleet/hosts.js";
import type { StoreMirror } from "../state/mirror.js";
import type { DutyLease } from "./lease.js";

const usageKey = `${ownPrefix}usage`;
const storedSchema = z.record(
    z.string(),
    z.object({
        counts: z.record(z.string(), z.number()),
        /** Final counts may have been reported and must not change. */
        isFinal: z.boolean(),
    }),
);
type StoredWindows = z.infer<typeof storedSchema>;

/** Interval at which the holder looks for windows to report. */
const tickMs = 400;
/** Share of the time until a report is due that the holder waits for the counts of the window's requests. */
const settlingShare = 0.54;
/** Number of windows kept in the store for the next holder; older ones are past due. */
const retainedWindows = 5;

/** Reports the usage of each window once. Counts are stored before they are sent, so that the next holder sends the same ones. */
export class UsageReporter implements Service {
    readonly #store: Store;
    readonly #mirror: StoreMirror;
    readonly #fleetClock: FleetClock;
    readonly #log: EventLog;
    readonly #dutyLease: DutyLease;
    readonly #duties: DutyCalls;
    readonly #usage: UsageLedger;
    readonly #windowMs: number;
    readonly #dueMs: number;
    readonly #reported = new Set<number>();
    readonly #startedWindow: number;
    readonly #task: RepeatedTask;

    constructor(
        options: {
            readonly store: Store;
            readonly mirror: StoreMirror;
            readonly clock: Clock;
            readonly log: EventLog;
            readonly lead: DutyLease;
            readonly duties: DutyCalls;
            readonly usage: UsageLedger;
            readonly fleetClock: FleetClock;
            readonly windowMs: number;
            readonly dueMs: number;
        },
    ) {
        this.#store = options.store;
        this.#mirror = options.mirror;
        this.#fleetClock = options.fleetClock;
        this.#task = new RepeatedTask(options.clock, { work: () => this.#run(), pauseMs: () => tickMs });
        this.#log = options.log;
        this.#dutyLease = options.lead;
        this.#duties = options.duties;
        this.#usage = options.usage;
        this.#windowMs = options.windowMs;
        this.#dueMs = options.dueMs;
        this.#startedWindow = options.usage.windowAt(options.fleetClock.now());
    }

    start(): Promise<void> {
        this.#task.start();
        return Promise.resolve();
    }

    async stop(): Promise<void> {
        await this.#task.stop();
    }

    async #run(): Promise<void> {
        this.#usage.forgetBefore(this.#usage.windowAt(this.#fleetClock.now()) - retainedWindows);
        for (const window of this.#windowsDue()) {
            await this.#report(window);
        }
    }

    /** Returns the unreported windows whose counts have settled and that are not past due, oldest first. */
    #windowsDue(): number[] {
        if (this.#dutyLease.holder() === undefined) {
            return [];
        }
        const nowMs = this.#fleetClock.now().getTime();
        const settledMs = nowMs - this.#dueMs * settlingShare;
        const last = Math.floor(settledMs / this.#windowMs) - 1;
        const first = Math.max(Math.ceil((nowMs - this.#dueMs) / this.#windowMs) - 1, this.#firstKnownWindow());
        const windows: number[] = [];
        for (let window = first; window <= last; window += 1) {
            if (!this.#reported.has(window)) {
                windows.push(window);
            }
        }
        return windows;
    }

    /** Returns the first window that this host can count or that a former holder stored. */
    #firstKnownWindow(): number {
        return Math.min(this.#startedWindow, ...Object.keys(this.#readStored()).map(Number));
    }

    async #report(window: number): Promise<void> {
        const counts = await this.#finalizeCounts(window);
        const reported = counts === undefined ?
            undefined :
            await this.#dutyLease.runWhileHeld(holder => this.#duties.reportUsage(holder, window, counts));
        if (counts === undefined || reported === undefined) {
            return;
        }
        if (reported.ok) {
            this.#reported.add(window);
            this.#log.write(events.usageReported, { window, customers: Object.keys(counts).length });
            return;
        }
        this.#log.write(events.usageFailed, { window, code: reported.issue.code, message: reported.issue.message });
        if (reported.issue.code === "duty.staleToken") {
            this.#dutyLease.giveUp("the platform has seen a newer fencing token");
        }
    }

    /** Returns the final counts of a window from the store, or stores those of this host as final if there are none. */
    async #finalizeCounts(window: number): Promise<CustomerCounts | undefined> {
        const { era } = this.#store;
        const known = this.#readStored()[window];
        if (known?.isFinal === true) {
            return known.counts;
        }
        // The mirror may not have the former holder's last write yet.
        const current = await this.#store.get(usageKey);
        if (!current.ok) {
            return undefined;
        }
        const stored = parseStored(current.value?.value);
        if (stored[window]?.isFinal === true) {
            return stored[window].counts;
        }
        const counts = this.#mergeCounts(window, stored);
        const kept = Object.entries(stored).filter(([number]) => Number(number) > window - retainedWindows);
        const value = JSON.stringify({
            ...Object.fromEntries(kept),
            ...this.#collectPreliminary(window, stored),
            [window]: { counts, isFinal: true },
        });
        if (this.#dutyLease.holder() === undefined) {
            return undefined;
        }
        const committed = await this.#store.commit({
            era,
            expected: [{ key: usageKey, revision: current.value?.revision ?? 0 }],
            writes: [{ key: usageKey, value }],
        });
        // If the response was lost, the next run reads the stored counts.
        return committed.ok ? counts : undefined;
    }

    /** Returns the counts of later windows that have ended. Storing them early keeps them if all hosts are killed. */
    #collectPreliminary(window: number, stored: StoredWindows): StoredWindows {
        const ended = this.#usage.windowAt(this.#fleetClock.now()) - 1;
        const preliminary: StoredWindows = {};
        for (let later = window + 1; later <= ended; later += 1) {
            if (stored[later]?.isFinal !== true) {
                preliminary[later] = { counts: this.#mergeCounts(later, stored), isFinal: false };
            }
        }
        return preliminary;
    }

    /** Returns the larger of this host's and the stored count by customer, since this host lacks the counts of killed hosts. */
    #mergeCounts(window: number, stored: StoredWindows): Record<string, number> {
        const counts: Record<string, number> = { ...stored[window]?.counts };
        for (const [customer, count] of Object.entries(this.#usage.total(window))) {
            counts[customer] = Math.max(counts[customer] ?? 0, count);
        }
        return counts;
    }

    #readStored(): StoredWindows {
        return parseStored(this.#mirror.get(usageKey)?.value);
    }
}

function parseStored(value: string | undefined): StoredWindows {
    return value === undefined ? {} : storedSchema.parse(JSON.parse(value));
}
