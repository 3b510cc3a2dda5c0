import type { Store, StoreLease } from "@filbertrelay/connectors";
import { brandAs, parseJson } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, RequestId, Service } from "@filbertrelay/kernel";
import type { FleetClock, RememberedOrigin } from "@filbertrelay/policy/ingress";
import * as z from "zod";
import type { StoreMirror } from "../state/mirror.js";
import { fleetEvents as events } from "./event.js";
import { ownPrefix } from "./hosts.js";

const originsPrefix = `${ownPrefix}streams/`;
const originsSchema = z.array(
    z.object({
        requestId: z.string(),
        service: z.string(),
        version: z.string(),
        /** Milliseconds since 1970 until which the caller may come back. */
        untilMs: z.number(),
    }),
);

/** Interval between writes; what is lost with all hosts is what was not written yet. */
const writeIntervalMs = 300;
/** Items are written under leases, each used for a while, so that they expire together. */
const leaseUseMs = 10_000;
/** Longer than the use of a lease and the life of a stream. */
const timeToLiveMs = 45_000;
/** Largest number of origins in an item; keeps it far below the largest value of the store. */
const maxOrigins = 2_000;
/** Origins that can't be written are dropped beyond this number, the oldest first. */
const maxUnwritten = 10_000;

/** Options of `OriginArchive`. */
export interface OriginArchiveOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly fleetClock: FleetClock;
    readonly log: EventLog;
    readonly hostId: HostId;
    /** Distinguishes the items of a host's runs. */
    readonly incarnation: string;
    readonly mirror: StoreMirror;
    /** Receives the origins that were stored, by any host. */
    readonly onStored: (origin: RememberedOrigin) => void;
}

/** Keeps the origins of streams in the store while a service has several versions, for the time after all hosts were killed. */
export class OriginArchive implements Service {
    readonly #options: OriginArchiveOptions;
    #unwritten: z.infer<typeof originsSchema> = [];
    #items = 0;
    #lease: { readonly lease: StoreLease; readonly grantedMs: number; } | undefined;
    #cancelWrite: (() => void) | undefined;
    #isStopped = false;

    constructor(options: OriginArchiveOptions) {
        this.#options = options;
        options.mirror.listen(originsPrefix, ({ value }) => {
            this.#read(value);
            // Hosts learn of these items when they start; peers that live need not be told.
            return "heartbeat";
        });
    }

    start(): Promise<void> {
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.#isStopped = true;
        this.#cancelWrite?.();
        return Promise.resolve();
    }

    /** Stores origins soon. */
    add(origins: readonly RememberedOrigin[]): void {
        const nowMs = this.#options.fleetClock.now().getTime();
        const added = origins.map(({ leftMs, ...origin }) => ({ ...origin, untilMs: Math.round(nowMs + leftMs) }));
        this.#unwritten = [...this.#unwritten, ...added].slice(-maxUnwritten);
        this.#schedule();
    }

    #schedule(): void {
        if (!this.#isStopped && this.#unwritten.length > 0) {
            this.#cancelWrite ??= this.#options.clock.after(writeIntervalMs, () => void this.#write());
        }
    }

    async #write(): Promise<void> {
        const { store, log, fleetClock, hostId, incarnation } = this.#options;
        const nowMs = fleetClock.now().getTime();
        this.#unwritten = this.#unwritten.filter(({ untilMs }) => untilMs > nowMs);
        const origins = this.#unwritten.slice(0, maxOrigins);
        const lease = await this.#provideLease();
        if (lease !== undefined) {
            this.#items += 1;
            const key = `${originsPrefix}${hostId}/${incarnation}/${this.#items}`;
            const written = await store.commit({
                era: lease.era,
                expected: [],
                writes: [{ key, value: JSON.stringify(origins), leaseId: lease.leaseId }],
            });
            if (written.ok) {
                this.#unwritten = this.#unwritten.slice(origins.length);
            }
            else {
                log.write(events.originsNotStored, { origins: origins.length, code: written.issue.code });
                this.#lease = undefined;
            }
        }
        this.#cancelWrite = undefined;
        this.#schedule();
    }

    async #provideLease(): Promise<StoreLease | undefined> {
        const { store, clock } = this.#options;
        const nowMs = clock.monotonicMs();
        if (this.#lease === undefined || nowMs - this.#lease.grantedMs > leaseUseMs || this.#lease.lease.era !== store.era) {
            const granted = await store.grantLease(timeToLiveMs);
            this.#lease = granted.ok ? { lease: granted.value, grantedMs: nowMs } : undefined;
        }
        return this.#lease?.lease;
    }

    #read(value: string | undefined): void {
        const origins = originsSchema.safeParse(parseJson(value ?? "[]"));
        const nowMs = this.#options.fleetClock.now().getTime();
        for (const { requestId, untilMs, ...origin } of origins.success ? origins.data : []) {
            if (untilMs > nowMs) {
                this.#options.onStored({ ...origin, requestId: brandAs<RequestId>(requestId), leftMs: untilMs - nowMs });
            }
        }
    }
}
