import type { Store } from "@filbertrelay/connectors";
import { RepeatedTask } from "@filbertrelay/kernel";
import type { Clock, EventLog, HostId, Service } from "@filbertrelay/kernel";
import { fleetEvents as events } from "./event.js";
import { hostPrefix } from "./hosts.js";
import type { HostEntry } from "./hosts.js";

/** An entry of a killed host lapses after this time; callers that were given its address fail over by themselves. */
const timeToLiveMs = 3_000;
/** Two renewals may be lost before the entry lapses. */
const renewalMs = 1_000;
/** Delay before a failed call is repeated. */
const retryMs = 300;

/** Keeps this host's entry in the store, under a lease. */
export class Registration implements Service {
    readonly #store: Store;
    readonly #log: EventLog;
    readonly #key: string;
    readonly #entry: HostEntry;
    readonly #task: RepeatedTask<boolean>;
    #leaseId: number | undefined;

    constructor(
        options: {
            readonly store: Store;
            readonly clock: Clock;
            readonly log: EventLog;
            readonly hostId: HostId;
            readonly entry: HostEntry;
        },
    ) {
        this.#store = options.store;
        this.#log = options.log;
        this.#key = `${hostPrefix}${options.hostId}`;
        this.#entry = options.entry;
        this.#task = new RepeatedTask(options.clock, {
            work: () => this.#leaseId === undefined ? this.#register() : this.#renew(this.#leaseId),
            pauseMs: isDone => isDone ? renewalMs : retryMs,
        });
    }

    start(): Promise<void> {
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

    async #register(): Promise<boolean> {
        const lease = await this.#store.grantLease(timeToLiveMs);
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
