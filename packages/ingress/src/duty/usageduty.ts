import type { Store } from "@filbertrelay/connectors";
import { RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, Service } from "@filbertrelay/kernel";
import type { CustomerCounts, FleetClock, UsageLedger } from "@filbertrelay/policy/ingress";
import { z } from "zod";
import type { DutyCalls } from "../contract.js";
import { fleetEvents as events } from "../fleet/event.js";
import { ownPrefix } from "../fleet/hosts.js";
import type { StoreMirror } from "../state/mirror.js";
import type { Lead } from "./lead.js";

const usageKey = `${ownPrefix}usage`;
const storedSchema = z.record(
    z.string(),
    z.object({
        counts: z.record(z.string(), z.number()),
        /** Final counts may have been sent and don't change any more. */
        isFinal: z.boolean(),
    }),
);
type StoredWindows = z.infer<typeof storedSchema>;

/** How often the holder looks for windows that are due. */
const tickMs = 400;
/** Part of the time until a report is due that is waited, so that requests which began in the window have been counted. */
const settleShare = 0.54;
/** Windows kept in the store, for a holder that takes over; older ones are past due. */
const windowsKept = 5;

/** Reports the usage of each window once. Counts are stored before they are sent, so that a later holder repeats them exactly. */
export class UsageDuty implements Service {
    readonly #store: Store;
    readonly #mirror: StoreMirror;
    readonly #fleetClock: FleetClock;
    readonly #log: EventLog;
    readonly #lead: Lead;
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
            readonly lead: Lead;
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
        this.#lead = options.lead;
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
        this.#usage.forgetBefore(this.#usage.windowAt(this.#fleetClock.now()) - windowsKept);
        for (const window of this.#windowsDue()) {
            await this.#report(window);
        }
    }

    /** Windows whose counts have settled and whose report would still be in time, oldest first. */
    #windowsDue(): number[] {
        if (this.#lead.holder() === undefined) {
            return [];
        }
        const nowMs = this.#fleetClock.now().getTime();
        const settledMs = nowMs - this.#dueMs * settleShare;
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

    /** The first window that this host can count, or that a former holder has stored. */
    #firstKnownWindow(): number {
        return Math.min(this.#startedWindow, ...Object.keys(this.#stored()).map(Number));
    }

    async #report(window: number): Promise<void> {
        const counts = await this.#fixCounts(window);
        const reported = counts === undefined ?
            undefined :
            await this.#lead.act(holder => this.#duties.reportUsage(holder, window, counts));
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
            this.#lead.yieldTo("the platform knows a later holder");
        }
    }

    /** The counts of a window that are in the store; those of this host are stored when there are none. */
    async #fixCounts(window: number): Promise<CustomerCounts | undefined> {
        const known = this.#stored()[window];
        if (known?.isFinal === true) {
            return known.counts;
        }
        // The mirror may be behind a former holder's last write.
        const current = await this.#store.get(usageKey);
        if (!current.ok) {
            return undefined;
        }
        const stored = parseStored(current.value?.value);
        if (stored[window]?.isFinal === true) {
            return stored[window].counts;
        }
        const counts = this.#count(window, stored);
        const kept = Object.entries(stored).filter(([number]) => Number(number) > window - windowsKept);
        const value = JSON.stringify({
            ...Object.fromEntries(kept),
            ...this.#preliminary(window, stored),
            [window]: { counts, isFinal: true },
        });
        if (this.#lead.holder() === undefined) {
            return undefined;
        }
        const committed = await this.#store.commit({
            expected: [{ key: usageKey, revision: current.value?.revision ?? 0 }],
            writes: [{ key: usageKey, value }],
        });
        // After a lost answer the next round reads what the store has.
        return committed.ok ? counts : undefined;
    }

    /** Counts of later windows that have ended; they survive when all hosts are killed before those are due. */
    #preliminary(window: number, stored: StoredWindows): StoredWindows {
        const ended = this.#usage.windowAt(this.#fleetClock.now()) - 1;
        const preliminary: StoredWindows = {};
        for (let later = window + 1; later <= ended; later += 1) {
            if (stored[later]?.isFinal !== true) {
                preliminary[later] = { counts: this.#count(later, stored), isFinal: false };
            }
        }
        return preliminary;
    }

    /** The most that this host or the store knows: hosts that were killed took what they had counted with them. */
    #count(window: number, stored: StoredWindows): Record<string, number> {
        const counts: Record<string, number> = { ...stored[window]?.counts };
        for (const [customer, count] of Object.entries(this.#usage.total(window))) {
            counts[customer] = Math.max(counts[customer] ?? 0, count);
        }
        return counts;
    }

    #stored(): StoredWindows {
        return parseStored(this.#mirror.get(usageKey)?.value);
    }
}

function parseStored(value: string | undefined): StoredWindows {
    return value === undefined ? {} : storedSchema.parse(JSON.parse(value));
}
