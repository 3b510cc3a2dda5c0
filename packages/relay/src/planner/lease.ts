import type { KeyValueClient } from "@filbertrelay/connectors";
import type { Clock, HostId } from "@filbertrelay/kernel";
import { randomUUID } from "node:crypto";

/** The key that the planner's host holds under a lease. */
export const plannerLeaseKey = "planner/lease";

const timeToLiveMs = 15_000;
/** Share of the lease's TTL, counted from the last renewal, in which the holder may act; the rest is a margin for slow calls. */
const usableTtlShare = 0.5;

interface HeldLease {
    readonly leaseId: string;
    readonly fencingToken: number;
    renewedMs: number;
}

/** The lease that lets one host plan. Its fencing token is the version of the key, which increases with each holder. */
export class PlannerLease {
    readonly #keyValue: KeyValueClient;
    readonly #clock: Clock;
    readonly #hostId: HostId;
    #held: HeldLease | undefined;

    constructor(options: { readonly keyValue: KeyValueClient; readonly clock: Clock; readonly hostId: HostId; }) {
        this.#keyValue = options.keyValue;
        this.#clock = options.clock;
        this.#hostId = options.hostId;
    }

    /** Renews or acquires the lease; returns the fencing token if this host may act, otherwise `undefined`. */
    async renewOrAcquire(): Promise<number | undefined> {
        await (this.#held === undefined ? this.#acquire() : this.#renew(this.#held));
        return this.fencingToken();
    }

    /** The fencing token; `undefined` when this host doesn't hold the lease or the last renewal is too old. */
    fencingToken(): number | undefined {
        const held = this.#held;
        return held !== undefined && this.#clock.monotonicMs() - held.renewedMs < timeToLiveMs * usableTtlShare ?
            held.fencingToken :
            undefined;
    }

    async #renew(held: HeldLease): Promise<void> {
        const startedMs = this.#clock.monotonicMs();
        const renewed = await this.#keyValue.renewLease(held.leaseId, "planner");
        if (renewed.ok) {
            held.renewedMs = startedMs;
        }
        else if (renewed.issue.code === "keyValue.conflict") {
            this.#held = undefined;
        }
    }

    async #acquire(): Promise<void> {
        const current = await this.#keyValue.get(plannerLeaseKey, "planner");
        if (!current.ok || current.value !== undefined) {
            return;
        }
        const startedMs = this.#clock.monotonicMs();
        const leaseId = await this.#keyValue.grantLease(timeToLiveMs, "planner");
        if (!leaseId.ok) {
            return;
        }
        const value = JSON.stringify({ hostId: this.#hostId, writer: randomUUID() });
        const written = await this.#keyValue.compareAndSwap(plannerLeaseKey, value, {
            expectedVersion: 0,
            leaseId: leaseId.value,
            purpose: "planner",
        });
        const fencingToken = written.ok ? written.value : await this.#findOwnWrite(value);
        if (fencingToken !== undefined) {
            this.#held = { leaseId: leaseId.value, fencingToken, renewedMs: startedMs };
        }
    }

    // Recognizes a write whose response was lost by the unique value that it wrote.
    async #findOwnWrite(value: string): Promise<number | undefined> {
        const stored = await this.#keyValue.get(plannerLeaseKey, "planner");
        return stored.ok && stored.value?.value === value ? stored.value.version : undefined;
    }
}
