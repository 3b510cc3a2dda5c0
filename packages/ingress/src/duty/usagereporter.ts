import type { Store } from "@filbertrelay/connectors";
import { parseJson, RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, Service } from "@filbertrelay/kernel";
import { finalizeWindow } from "@filbertrelay/policy/ingress";
import type { CustomerCounts, FinalCounts, FleetClock, StoredWindows, UsageLedger } from "@filbertrelay/policy/ingress";
import * as z from "zod";
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
        isFinal: z.boolean(),
        era: z.number().optional(),
        isLost: z.boolean().optional(),
    }),
);

/** Interval at which the holder looks for windows to report. */
const tickMs = 400;
/** Share of the time until a report is due that the holder waits for the counts of the window's requests. */
const settlingShare = 0.54;
/** Final counts are reported this long after they were stored, so that the other hosts know them even if the store is restored. */
const propagationMs = 600;
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
    readonly #finals: FinalCounts;
    readonly #clock: Clock;
    readonly #windowMs: number;
    readonly #dueMs: number;
    readonly #reported = new Set<number>();
    readonly #startedWindow: number;
    #era = 0;
    /** When this host learned of the era, in milliseconds since 1970. */
    #eraKnownMs: number;
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
            readonly finals: FinalCounts;
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
        this.#finals = options.finals;
        this.#clock = options.clock;
        this.#windowMs = options.windowMs;
        this.#dueMs = options.dueMs;
        this.#startedWindow = options.usage.windowAt(options.fleetClock.now());
        this.#eraKnownMs = options.fleetClock.now().getTime();
        options.mirror.onEra(era => this.#recordEra(era));
        options.mirror.listen(usageKey, ({ value }) => {
            this.#finals.recordStored(parseStored(value), this.#clock.monotonicMs());
            return "material";
        });
    }

    start(): Promise<void> {
        this.#task.start();
        return Promise.resolve();
    }

    async stop(): Promise<void> {
        await this.#task.stop();
    }

    async #run(): Promise<void> {
        const now = this.#fleetClock.now();
        this.#usage.forgetBefore(this.#usage.windowAt(now) - retainedWindows);
        this.#finals.forgetBefore(this.#usage.windowAt(new Date(now.getTime() - this.#dueMs)) - retainedWindows);
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
        const knownMs = this.#finals.get(window)?.knownMs ?? Infinity;
        if (counts === undefined || this.#clock.monotonicMs() - knownMs < propagationMs) {
            return;
        }
        const reported = await this.#dutyLease.runWhileHeld(holder => this.#duties.reportUsage(holder, window, counts));
        if (reported === undefined) {
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

    /** Returns the final counts of a window, which are in the store by then; stores those of this host if there are none. */
    async #finalizeCounts(window: number): Promise<CustomerCounts | undefined> {
        const { era } = this.#store;
        const known = this.#readStored()[window];
        if (known?.isFinal === true) {
            return this.#finals.get(window)?.counts;
        }
        // The mirror may not have the former holder's last write yet.
        const current = await this.#store.get(usageKey);
        if (!current.ok) {
            return undefined;
        }
        const stored = parseStored(current.value?.value);
        this.#finals.recordStored(stored, this.#clock.monotonicMs());
        if (stored[window]?.isFinal === true) {
            return this.#finals.get(window)?.counts;
        }
        const windows = this.#finalize(window, stored);
        if (this.#dutyLease.holder() === undefined) {
            return undefined;
        }
        const committed = await this.#store.commit({
            era,
            expected: [{ key: usageKey, revision: current.value?.revision ?? 0 }],
            writes: [{ key: usageKey, value: JSON.stringify(windows) }],
        });
        if (!committed.ok) {
            // If the response was lost, the next run reads the stored counts.
            return undefined;
        }
        this.#finals.recordStored(windows, this.#clock.monotonicMs());
        if (windows[window]?.isLost === true) {
            this.#reported.add(window);
            this.#log.write(events.usageSkipped, { window, era });
        }
        return this.#finals.get(window)?.counts;
    }

    #finalize(window: number, stored: StoredWindows): StoredWindows {
        const now = this.#fleetClock.now();
        return finalizeWindow(window, {
            stored,
            finals: this.#finals,
            era: this.#store.era,
            eraKnownMs: this.#eraKnownMs,
            heldSinceMs: now.getTime() - this.#dutyLease.heldForMs(),
            settledMs: number => (number + 1) * this.#windowMs + this.#dueMs * settlingShare,
            count: number => this.#mergeCounts(number, stored),
            lastEnded: this.#usage.windowAt(now) - 1,
            retained: retainedWindows,
        });
    }

    #recordEra(era: number): void {
        if (era > this.#era) {
            this.#era = era;
            this.#eraKnownMs = this.#fleetClock.now().getTime();
        }
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

/** An unreadable value holds no windows; the next write replaces it. */
function parseStored(value: string | undefined): StoredWindows {
    const stored = storedSchema.safeParse(parseJson(value ?? "{}"));
    return stored.success ? stored.data : {};
}
