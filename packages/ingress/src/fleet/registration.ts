import type { Store } from "@filbertrelay/connectors";
import { RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, Service } from "@filbertrelay/kernel";
import { largestAllServingFleet } from "@filbertrelay/policy/ingress";
import { fleetEvents as events } from "./event.js";
import { hostPrefix } from "./hosts.js";
import type { HostEntry } from "./hosts.js";

/**
 * How long the entry of a killed host stays. Where every host serves, its part of customers' limits is kept free until then; in
 * larger fleets only hosts that are heard serve, and each renewal of each host is a call that the users pay for.
 */
const timeToLiveMs = { fullFleet: 3_000, largeFleet: 12_000 };
/** Two renewals may be lost before an entry lapses. */
const renewalsPerLife = 3;
/** A host that can't read the store registers itself after this time without knowing the size of the fleet. */
const longestWaitMs = 500;
/** How often a host that waits for its first read looks again. */
const waitMs = 20;
/** Delay before a failed call is repeated. */
const retryMs = 300;

/** Keeps this host's entry in the store, under a lease. */
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
            /** Hosts of the fleet that are known; `undefined` before the first read of the store. */
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

    /** Takes this host out of the directory; resolves when the store has it or did not answer. */
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

    /** Registers this host or renews its entry; gives the time until the next run. */
    async #run(): Promise<number> {
        const hosts = this.#countHosts();
        if (hosts === undefined && this.#clock.monotonicMs() - this.#startedMs < longestWaitMs) {
            return waitMs;
        }
        const wantedMs = (hosts ?? 0) > largestAllServingFleet ? timeToLiveMs.largeFleet : timeToLiveMs.fullFleet;
        const isDone = this.#leaseId === undefined || wantedMs > this.#timeToLiveMs ?
            await this.#register(wantedMs) :
            await this.#renew(this.#leaseId);
        return isDone ? this.#timeToLiveMs / renewalsPerLife : retryMs;
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
            // The lease lapses by itself, and with it an entry that was written although its answer was lost.
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
            this.#log.write(events.registrationLost, { key: this.#key });
        }
        return renewed.ok;
    }
}
