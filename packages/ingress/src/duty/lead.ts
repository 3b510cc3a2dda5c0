import type { Store } from "@filbertrelay/connectors";
import { brandAs, parseJson, RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, Incarnation, Service } from "@filbertrelay/kernel";
import { z } from "zod";
import type { DutyHolder } from "../contract.js";
import { fleetEvents as events } from "../fleet/event.js";
import { ownPrefix } from "../fleet/hosts.js";
import type { StoreMirror } from "../state/mirror.js";

/** The holder's key; it lapses with its lease. */
const leadKey = `${ownPrefix}lead`;
/** The number of the last holder; it outlives every lease, so that fencing tokens only grow. */
const termKey = `${ownPrefix}term`;
/** How often the holder renews and the others look whether the key is free. */
const tickMs = 500;
/** Part of the lease in which the holder acts after a renewal; the rest covers slow calls and clocks. */
const actingShare = 0.6;
/** Part of the lease after a renewal in which a call may still arrive; the rest covers the time that it is under way. */
const arrivingShare = 0.9;
/** Hosts that see the key vanish try at different times, so that most of them find it taken. */
const contendSpreadMs = 250;

const leadSchema = z.object({ hostId: z.string().min(1) });

/** The host that holds the duties according to the copy of the store. */
export function readDutyHolder(mirror: StoreMirror): HostId | undefined {
    const entry = leadSchema.safeParse(parseJson(mirror.get(leadKey)?.value ?? ""));
    return entry.success ? brandAs<HostId>(entry.data.hostId) : undefined;
}

interface HeldLead {
    readonly leaseId: number;
    readonly term: number;
    renewedMs: number;
    renewedAt: number;
}

/** Holds the right to the fleet's duties on one host at a time, by a lease and a number that grows with each holder. */
export class Lead implements Service {
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
    /** Calls of duties that have not ended yet. */
    readonly #acting = new Set<Promise<unknown>>();
    #held: HeldLead | undefined;
    #pausedUntilMs: number;

    constructor(
        options: {
            readonly store: Store;
            readonly mirror: StoreMirror;
            readonly clock: Clock;
            readonly log: EventLog;
            readonly hostId: HostId;
            readonly incarnation: Incarnation;
            /** Life of the lease, and how long a former holder leaves the duties to others. */
            readonly leaseMs: number;
            readonly draw: () => number;
            /** How long this host leaves a free lead to hosts that should rather take it; none by default. */
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
        // A former run of this host may have held the duties until just now.
        this.#pausedUntilMs = options.clock.monotonicMs() + options.leaseMs;
    }

    /** This host as the holder, while it may act; asks for the time anew at each call, since the process may have been paused. */
    holder(): DutyHolder | undefined {
        const held = this.#held;
        const sinceMs = held === undefined ? Infinity : this.#sinceRenewalMs(held);
        return held !== undefined && sinceMs < this.#leaseMs * actingShare ?
            { hostId: this.#hostId, fencingToken: held.term, validMs: this.#leaseMs * arrivingShare - sinceMs } :
            undefined;
    }

    /**
     * Makes a call of a duty if this host holds it at this moment; gives `undefined` without a call otherwise. The duties are not
     * released to another host before the call has ended.
     */
    async act<Result>(call: (holder: DutyHolder) => Promise<Result>): Promise<Result | undefined> {
        const holder = this.holder();
        if (holder === undefined) {
            return undefined;
        }
        const result = call(holder);
        this.#acting.add(result);
        try {
            return await result;
        }
        finally {
            this.#acting.delete(result);
        }
    }

    /** Gives the duties up because the platform knows a later holder. */
    yieldTo(reason: string): void {
        this.#lose(reason);
    }

    start(): Promise<void> {
        this.#task.start();
        return Promise.resolve();
    }

    /** Releases the duties at once, so that another host takes them over without waiting for the lease to lapse. */
    async release(): Promise<void> {
        await this.#task.stop();
        const held = this.#held;
        if (held !== undefined) {
            this.#lose("released");
            await Promise.allSettled(this.#acting);
            await this.#store.endLease(held.leaseId);
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
        // Where no term was ever recorded nobody has held the duties, so there is no former holder to wait for.
        const mayContend = this.#clock.monotonicMs() >= this.#pausedUntilMs || this.#mirror.get(termKey) === undefined;
        return mayContend && this.#mirror.ageMs() < this.#leaseMs && this.#mirror.revision > 0 &&
            this.#mirror.get(leadKey) === undefined;
    }

    async #renew(held: HeldLead): Promise<void> {
        const startMs = this.#clock.monotonicMs();
        const startAt = this.#clock.now().getTime();
        const renewed = await this.#store.renewLease(held.leaseId);
        if (renewed.ok) {
            // A process that was paused while the answer was under way counts from before the pause.
            held.renewedMs = startMs;
            held.renewedAt = startAt;
        }
        else if (renewed.issue.code === "store.leaseGone") {
            this.#lose("the lease has lapsed");
        }
        else if (this.#sinceRenewalMs(held) > this.#leaseMs * 2) {
            this.#lose("the store did not answer");
        }
    }

    async #contend(): Promise<void> {
        await this.#clock.sleep(this.#contendDelayMs() + contendSpreadMs * this.#draw());
        if (this.#task.isStopped || !this.#isFree()) {
            return;
        }
        const startMs = this.#clock.monotonicMs();
        const startAt = this.#clock.now().getTime();
        const lease = await this.#store.grantLease(this.#leaseMs);
        if (!lease.ok) {
            return;
        }
        const former = this.#mirror.get(termKey);
        const term = Number(former?.value ?? 0) + 1;
        const value = JSON.stringify({ hostId: this.#hostId, incarnation: this.#incarnation, term });
        const committed = await this.#store.commit({
            expected: [{ key: leadKey, revision: 0 }, { key: termKey, revision: former?.revision ?? 0 }],
            writes: [{ key: leadKey, value, leaseId: lease.value }, { key: termKey, value: String(term) }],
        });
        if (!committed.ok && !(committed.issue.code === "store.unavailable" && await this.#isOwn(value))) {
            // Without the lease a commit that is still under way can't take effect any more.
            await this.#store.endLease(lease.value);
            return;
        }
        this.#held = { leaseId: lease.value, term, renewedMs: startMs, renewedAt: startAt };
        this.#log.write(events.leadGained, { term, formerRevision: former?.revision });
    }

    /** Whether a commit whose answer was lost has taken effect. */
    async #isOwn(value: string): Promise<boolean> {
        const stored = await this.#store.get(leadKey);
        return stored.ok && stored.value?.value === value;
    }

    /** The monotonic clock stands still while a host is suspended, and the wall clock may be set; the larger one counts. */
    #sinceRenewalMs(held: HeldLead): number {
        return Math.max(this.#clock.monotonicMs() - held.renewedMs, this.#clock.now().getTime() - held.renewedAt);
    }

    #lose(reason: string): void {
        if (this.#held !== undefined) {
            this.#log.write(events.leadLost, { term: this.#held.term, reason });
            this.#held = undefined;
            this.#pausedUntilMs = this.#clock.monotonicMs() + 2 * this.#leaseMs;
        }
    }
}
