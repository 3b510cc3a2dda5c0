import type { Store, StoreItem, StoreLease } from "@filbertrelay/connectors";
import { brandAs, parseJson, RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, Incarnation, Service } from "@filbertrelay/kernel";
import { createFencingToken, firstEra, mayContend } from "@filbertrelay/policy/ingress";
import * as z from "zod";
import type { DutyHolder } from "../contract.js";
import { fleetEvents as events } from "../fleet/event.js";
import { ownPrefix } from "../fleet/hosts.js";
import type { StoreMirror } from "../state/mirror.js";

/** Key that names the duty holder; it expires with the lease. */
const leaseKey = `${ownPrefix}lead`;
/** Key of the last holder's term; it has no lease, so that terms only increase within an era of the store. */
const termKey = `${ownPrefix}term`;
/** Interval at which the holder renews the lease and the other hosts check whether it is free. */
const tickMs = 500;
/** Share of the lease for which the holder may start calls after a renewal; the rest covers slow calls and clock drift. */
const holderShare = 0.6;
/** Share of the lease after which a call in progress is given up; the rest covers its time in transit. */
const callDeadlineShare = 0.9;
/** Random delay before a host contends for a free lease, so that most hosts find it taken. */
const contendJitterMs = 250;

const holderSchema = z.object({
    hostId: z.string().min(1),
    /** Absent in entries of older versions. */
    era: z.number().optional(),
});

/** Reads the current duty holder from the store mirror. */
export function readDutyHolder(mirror: StoreMirror): HostId | undefined {
    const entry = holderSchema.safeParse(parseJson(mirror.get(leaseKey)?.value ?? ""));
    return entry.success ? brandAs<HostId>(entry.data.hostId) : undefined;
}

interface HeldLease {
    readonly lease: StoreLease;
    readonly term: number;
    /** Since when no other host can have held the duties, in monotonic milliseconds. */
    readonly sinceMs: number;
    renewedMs: number;
    renewedAt: number;
}

/** Elects the one host that runs the fleet-wide duties, by a lease in the store and a fencing token that grows with each holder. */
export class DutyLease implements Service {
    readonly #store: Store;
    readonly #mirror: StoreMirror;
    readonly #clock: Clock;
    readonly #log: EventLog;
    readonly #hostId: HostId;
    readonly #incarnation: Incarnation;
    readonly #leaseMs: number;
    readonly #draw: () => number;
    readonly #contendDelayMs: () => number;
    readonly #task: RepeatedTask;
    /** Duty calls in progress. */
    readonly #pendingCalls = new Set<Promise<unknown>>();
    #held: HeldLease | undefined;
    #pausedUntilMs: number;
    #era = 0;
    #eraKnownMs = 0;
    #isRestored = false;
    /** Since when this host has held the duties, if it held them when the store was restored. */
    #continuedSinceMs: number | undefined;

    constructor(
        options: {
            readonly store: Store;
            readonly mirror: StoreMirror;
            readonly clock: Clock;
            readonly log: EventLog;
            readonly hostId: HostId;
            readonly incarnation: Incarnation;
            /** Duration of the lease. Also determines how long a host doesn't contend after its start or after losing the lease. */
            readonly leaseMs: number;
            readonly draw: () => number;
            /** How long this host leaves a free lease to preferred hosts; 0 by default. */
            readonly contendDelayMs?: () => number;
        },
    ) {
        this.#store = options.store;
        this.#mirror = options.mirror;
        this.#clock = options.clock;
        this.#task = new RepeatedTask(options.clock, { work: () => this.#run(), pauseMs: () => tickMs });
        this.#log = options.log;
        this.#hostId = options.hostId;
        this.#incarnation = options.incarnation;
        this.#leaseMs = options.leaseMs;
        this.#draw = options.draw;
        this.#contendDelayMs = options.contendDelayMs ?? (() => 0);
        // A previous run of this host may have held the lease until just now.
        this.#pausedUntilMs = options.clock.monotonicMs() + options.leaseMs;
    }

    /** Returns this host as the holder while it may start calls. Reads the clock each time, since the process may have paused. */
    holder(): DutyHolder | undefined {
        const held = this.#held;
        const sinceMs = held === undefined ? Infinity : this.#sinceRenewalMs(held);
        if (held === undefined || sinceMs >= this.#leaseMs * holderShare) {
            return undefined;
        }
        const fencingToken = createFencingToken({ era: held.lease.era, term: held.term });
        return { hostId: this.#hostId, fencingToken, validMs: this.#leaseMs * callDeadlineShare - sinceMs };
    }

    /** For how long no other host can have held the duties, in milliseconds; 0 if this host does not hold them. */
    heldForMs(): number {
        return this.#held === undefined ? 0 : this.#clock.monotonicMs() - this.#held.sinceMs;
    }

    /** Gives up a lease that a restore of the store has undone, and contends again. */
    recordEra(era: number): void {
        if (era <= this.#era) {
            return;
        }
        const held = this.#held;
        this.#era = era;
        this.#isRestored = era > firstEra || this.#mirror.revision > 0;
        this.#eraKnownMs = this.#clock.monotonicMs();
        // Nobody else can have held a lease that had not run out before the restore.
        const isContinuing = held !== undefined && this.#sinceRenewalMs(held) < this.#leaseMs;
        this.#continuedSinceMs = isContinuing ? held.sinceMs : undefined;
        this.#lose("the store was restored");
        this.#task.wake();
    }

    /**
     * Makes a duty call if this host holds the lease; otherwise returns `undefined` without making it. The lease is not released
     * before the call has ended.
     */
    async runWhileHeld<Result>(call: (holder: DutyHolder) => Promise<Result>): Promise<Result | undefined> {
        const holder = this.holder();
        if (holder === undefined) {
            return undefined;
        }
        const result = call(holder);
        this.#pendingCalls.add(result);
        try {
            return await result;
        }
        finally {
            this.#pendingCalls.delete(result);
        }
    }

    /** Stops acting as the holder, for example because the platform has seen a newer fencing token. */
    giveUp(reason: string): void {
        this.#lose(reason);
    }

    start(): Promise<void> {
        this.#task.start();
        return Promise.resolve();
    }

    /** Ends the lease, so that another host can take over without waiting for it to expire. */
    async release(): Promise<void> {
        await this.#task.stop();
        const held = this.#held;
        if (held !== undefined) {
            this.#lose("released");
            await Promise.allSettled(this.#pendingCalls);
            await this.#store.endLease(held.lease);
        }
    }

    async stop(): Promise<void> {
        await this.release();
    }

    async #run(): Promise<void> {
        const held = this.#held;
        if (held !== undefined) {
            await this.#renew(held);
        }
        else if (this.#isFree()) {
            await this.#contend();
        }
    }

    #isFree(): boolean {
        const { era, revision } = this.#mirror.position;
        const isCurrent = this.#mirror.ageMs() < this.#leaseMs && revision > 0 && era === this.#store.era;
        return isCurrent && mayContend({
            nowMs: this.#clock.monotonicMs(),
            era,
            isRestored: this.#isRestored,
            eraKnownMs: this.#eraKnownMs,
            ...this.#describeEntry(this.#mirror.get(leaseKey), era),
            pausedUntilMs: this.#pausedUntilMs,
            leaseMs: this.#leaseMs,
            isContinuing: this.#isContinuing(),
        });
    }

    #isContinuing(): boolean {
        return this.#continuedSinceMs !== undefined && this.#clock.monotonicMs() - this.#eraKnownMs < this.#leaseMs;
    }

    #describeEntry(entry: StoreItem | undefined, era: number): { readonly entryEra?: number; readonly term?: number; } {
        const term = this.#mirror.get(termKey);
        const holder = holderSchema.safeParse(parseJson(entry?.value ?? ""));
        return {
            ...(entry === undefined ? {} : { entryEra: holder.data?.era ?? era }),
            ...(term === undefined ? {} : { term: Number(term.value) }),
        };
    }

    async #renew(held: HeldLease): Promise<void> {
        const startMs = this.#clock.monotonicMs();
        const startAt = this.#clock.now().getTime();
        const renewed = await this.#store.renewLease(held.lease);
        if (renewed.ok) {
            // Measured from before the call, since the process may have paused before the response arrived.
            held.renewedMs = startMs;
            held.renewedAt = startAt;
        }
        else if (renewed.issue.code === "store.leaseGone") {
            this.#lose("the lease has expired");
        }
        else if (this.#sinceRenewalMs(held) > this.#leaseMs * 2) {
            this.#lose("the store did not respond");
        }
    }

    async #contend(): Promise<void> {
        if (!this.#isContinuing()) {
            await this.#clock.sleep(this.#contendDelayMs() + contendJitterMs * this.#draw());
        }
        if (this.#task.isStopped || !this.#isFree()) {
            return;
        }
        const startMs = this.#clock.monotonicMs();
        const startAt = this.#clock.now().getTime();
        const lease = await this.#store.grantLease(this.#leaseMs);
        if (!lease.ok) {
            return;
        }
        const { era } = lease.value;
        if (!this.#isFree()) {
            // Another host has acquired the lease meanwhile, or the store was restored.
            await this.#store.endLease(lease.value);
            return;
        }
        const former = this.#mirror.get(termKey);
        const term = Number(former?.value ?? 0) + 1;
        const value = JSON.stringify({ hostId: this.#hostId, incarnation: this.#incarnation, term, era });
        const committed = await this.#store.commit({
            era,
            expected: [
                // An entry of an earlier era has come back with the restored copy; its holder has given up.
                { key: leaseKey, revision: this.#mirror.get(leaseKey)?.revision ?? 0 },
                { key: termKey, revision: former?.revision ?? 0 },
            ],
            writes: [{ key: leaseKey, value, leaseId: lease.value.leaseId }, { key: termKey, value: String(term) }],
        });
        if (!committed.ok && !(committed.issue.code === "store.unavailable" && await this.#isCommitted(value))) {
            // Ending the lease prevents a commit that is still in transit from taking effect.
            await this.#store.endLease(lease.value);
            return;
        }
        const sinceMs = this.#isContinuing() ? this.#continuedSinceMs ?? startMs : startMs;
        this.#continuedSinceMs = undefined;
        this.#held = { lease: lease.value, term, sinceMs, renewedMs: startMs, renewedAt: startAt };
        this.#log.write(events.dutyLeaseAcquired, { era, term, formerRevision: former?.revision });
    }

    /** Whether a commit took effect although its response was lost. */
    async #isCommitted(value: string): Promise<boolean> {
        const stored = await this.#store.get(leaseKey);
        return stored.ok && stored.value?.value === value;
    }

    /** Returns the larger of monotonic and wall-clock time: the former stops while the host is suspended, the latter may be set. */
    #sinceRenewalMs(held: HeldLease): number {
        return Math.max(this.#clock.monotonicMs() - held.renewedMs, this.#clock.now().getTime() - held.renewedAt);
    }

    #lose(reason: string): void {
        if (this.#held !== undefined) {
            this.#log.write(events.dutyLeaseLost, { term: this.#held.term, reason });
            this.#held = undefined;
            this.#pausedUntilMs = this.#clock.monotonicMs() + 2 * this.#leaseMs;
        }
    }
}
