import type { Store, StoreLease } from "@filbertrelay/connectors";
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
/** Store writes that a registration takes: the lease and the entry. */
const writesPerRegistration = 2;
/** Share of the store's write rate that hosts use which register again after a restore of the store. */
const restoreWriteShare = 0.25;
/** Longest delay of such a registration; peers keep a lost entry for longer. */
const maxRestoreDelayMs = 1_000;
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
    readonly #writesPerSecond: number;
    readonly #draw: () => number;
    readonly #task: RepeatedTask<number>;
    #startedMs = 0;
    #timeToLiveMs = timeToLiveMs.fullFleet;
    #lease: StoreLease | undefined;
    /** When this host registers again after a restore of the store, in monotonic milliseconds. */
    #registerMs = -Infinity;

    constructor(
        options: {
            readonly store: Store;
            readonly clock: Clock;
            readonly log: EventLog;
            readonly hostId: HostId;
            readonly entry: HostEntry;
            /** Number of registered hosts; `undefined` before the first read of the store. */
            readonly countHosts: () => number | undefined;
            /** Write rate of the store for all hosts together. */
            readonly writesPerSecond: number;
            /** Uniform in [0, 1); spreads the hosts' registrations. */
            readonly draw: () => number;
        },
    ) {
        this.#clock = options.clock;
        this.#countHosts = options.countHosts;
        this.#writesPerSecond = options.writesPerSecond;
        this.#draw = options.draw;
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
        if (this.#lease !== undefined) {
            await this.#store.endLease(this.#lease);
            this.#lease = undefined;
        }
    }

    /** Registers again if a restore of the store has undone the lease, and perhaps the entry. */
    recordEra(era: number): void {
        if (this.#lease === undefined || era <= this.#lease.era) {
            return;
        }
        this.#lease = undefined;
        const writes = Math.max(1, this.#countHosts() ?? 1) * writesPerRegistration;
        const spreadMs = Math.min(maxRestoreDelayMs, writes / (this.#writesPerSecond * restoreWriteShare) * 1_000);
        this.#registerMs = this.#clock.monotonicMs() + spreadMs * this.#draw();
        this.#task.wake();
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
        const untilRegistrationMs = this.#registerMs - this.#clock.monotonicMs();
        if (untilRegistrationMs > 0) {
            return untilRegistrationMs;
        }
        const wantedMs = (hosts ?? 0) > largestAllServingFleet ? timeToLiveMs.largeFleet : timeToLiveMs.fullFleet;
        const hasSucceeded = this.#lease === undefined || wantedMs > this.#timeToLiveMs ?
            await this.#register(wantedMs) :
            await this.#renew(this.#lease);
        return hasSucceeded ? this.#timeToLiveMs / renewalsPerTtl : retryMs;
    }

    async #register(ttlMs: number): Promise<boolean> {
        const lease = await this.#store.grantLease(ttlMs);
        if (!lease.ok) {
            return false;
        }
        const { leaseId, era } = lease.value;
        const written = await this.#store.commit({
            era,
            expected: [],
            writes: [{ key: this.#key, value: JSON.stringify(this.#entry), leaseId }],
        });
        if (!written.ok) {
            // If the commit took effect and only its response was lost, the entry expires with the lease.
            return false;
        }
        this.#lease = lease.value;
        this.#timeToLiveMs = ttlMs;
        this.#log.write(events.registered, { key: this.#key, revision: written.value });
        return true;
    }

    async #renew(lease: StoreLease): Promise<boolean> {
        const renewed = await this.#store.renewLease(lease);
        if (!renewed.ok && renewed.issue.code === "store.leaseGone") {
            this.#lease = undefined;
            this.#log.write(events.registrationExpired, { key: this.#key });
        }
        return renewed.ok;
    }
}
