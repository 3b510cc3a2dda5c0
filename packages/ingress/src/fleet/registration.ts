import type { Store } from "@filbertrelay/connectors";
import { RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, Service } from "@filbertrelay/kernel";
import { largestAllServingFleet } from "@filbertrelay/policy/ingress";
import { fleetEvents as events } from "./event.js";
import { hostPrefix } from "./hosts.js";
import type { HostEntry } from "./hosts.js";

/**
 * Lifetime of the entry of a killed host. Where every host serves, its share of customer limits stays reserved until the entry
 * expires, so the lifetime is short. In larger fleets only reachable hosts serve, and every renewal is a billed store call.
 */
const timeToLiveMs = { fullFleet: 3_000, largeFleet: 12_000 };
/** Allows two lost renewals before an entry expires. */
const renewalsPerTtl = 3;
/** A host that can't read the store registers after this time without knowing the size of the fleet. */
const maxFirstReadWaitMs = 500;
/** Interval at which a host checks for the first read of the store. */
const firstReadPollMs = 20;
/** Delay before a failed call is retried. */
const retryMs = 300;

/** Maintains this host's entry in the store under a lease. */
export class Registration implements Service {
    readonly #store: Store;
    readonly #log: EventLog;
    readonly #key: string;
    readonly #entry: HostEntry;
    readonly #clock: Clock;
    readonly #countHosts: () => number | undefined;
    readonly #task: RepeatedTask<number>;
    #startedMs = 0;
    #timeToLiveMs = timeToLiveMs.fullFleet;
    #leaseId: number | undefined;

    constructor(
        options: {
            readonly store: Store;
            readonly clock: Clock;
            readonly log: EventLog;
            readonly hostId: HostId;
            readonly entry: HostEntry;
            /** Number of registered hosts; `undefined` before the first read of the store. */
            readonly countHosts: () => number | undefined;
        },
    ) {
        this.#clock = options.clock;
        this.#countHosts = options.countHosts;
        this.#store = options.store;
        this.#log = options.log;
        this.#key = `${hostPrefix}${options.hostId}`;
        this.#entry = options.entry;
        this.#task = new RepeatedTask(options.clock, {
            work: () => this.#run(),
            pauseMs: ms => ms,
        });
    }

    start(): Promise<void> {
        this.#startedMs = this.#clock.monotonicMs();
        this.#task.start();
        return Promise.resolve();
    }

    /** Removes this host's entry; resolves when the store has responded or the call has timed out. */
    async leave(): Promise<void> {
        await this.#task.stop();
        if (this.#leaseId !== undefined) {
            await this.#store.endLease(this.#leaseId);
            this.#leaseId = undefined;
        }
    }

    async stop(): Promise<void> {
        await this.leave();
    }

    /** Registers this host or renews its entry. Returns the delay until the next run. */
    async #run(): Promise<number> {
        const hosts = this.#countHosts();
        if (hosts === undefined && this.#clock.monotonicMs() - this.#startedMs < maxFirstReadWaitMs) {
            return firstReadPollMs;
        }
        const wantedMs = (hosts ?? 0) > largestAllServingFleet ? timeToLiveMs.largeFleet : timeToLiveMs.fullFleet;
        const hasSucceeded = this.#leaseId === undefined || wantedMs > this.#timeToLiveMs ?
            await this.#register(wantedMs) :
            await this.#renew(this.#leaseId);
        return hasSucceeded ? this.#timeToLiveMs / renewalsPerTtl : retryMs;
    }

    async #register(ttlMs: number): Promise<boolean> {
        const lease = await this.#store.grantLease(ttlMs);
        if (!lease.ok) {
            return false;
        }
        const written = await this.#store.commit({
            expected: [],
            writes: [{ key: this.#key, value: JSON.stringify(this.#entry), leaseId: lease.value }],
        });
        if (!written.ok) {
            // If the commit took effect and only its response was lost, the entry expires with the lease.
            return false;
        }
        this.#leaseId = lease.value;
        this.#timeToLiveMs = ttlMs;
        this.#log.write(events.registered, { key: this.#key, revision: written.value });
        return true;
    }

    async #renew(leaseId: number): Promise<boolean> {
        const renewed = await this.#store.renewLease(leaseId);
        if (!renewed.ok && renewed.issue.code === "store.leaseGone") {
            this.#leaseId = undefined;
            this.#log.write(events.registrationExpired, { key: this.#key });
        }
        return renewed.ok;
    }
}
