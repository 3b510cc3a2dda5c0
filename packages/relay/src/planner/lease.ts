import type { KeyValueClient } from "@filbertrelay/connectors";
import type { Clock, HostId } from "@filbertrelay/kernel";
import { randomUUID } from "node:crypto";

/** The key that the planning host holds under a lease. */
export const plannerLeaseKey = "planner/lease";

const timeToLiveMs = 15_000;
/** Part of the lease's life after its last renewal in which the holder acts; the rest covers slow calls. */
const actingRatio = 0.5;

interface HeldLease {
    readonly leaseId: string;
    readonly fencingToken: number;
    renewedMs: number;
}

/** The right to plan. The fencing token is the version of the lease's key, which grows with each holder. */
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

    /** Renews or acquires the lease; gives the fencing token while this host may act, else `undefined`. */
    async hold(): Promise<number | undefined> {
        await (this.#held === undefined ? this.#acquire() : this.#renew(this.#held));
        return this.fencingToken();
    }

    /** The fencing token, unless the last renewal is too long ago. */
    fencingToken(): number | undefined {
        const held = this.#held;
        return held !== undefined && this.#clock.monotonicMs() - held.renewedMs < timeToLiveMs * actingRatio ?
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

    // A write whose reply was lost is recognised by its unique value.
    async #findOwnWrite(value: string): Promise<number | undefined> {
        const stored = await this.#keyValue.get(plannerLeaseKey, "planner");
        return stored.ok && stored.value?.value === value ? stored.value.version : undefined;
    }
}
