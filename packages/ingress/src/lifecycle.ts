import type { Clock, EventLog, Kernel } from "@filbertrelay/kernel";
import { declareEvents } from "@filbertrelay/kernel";
import type { IngressServer } from "./caller/server.js";
import type { DutyLease } from "./duty/lease.js";
import type { Registration } from "./fleet/registration.js";

/** Log events of a host's start and stop. */
export const lifecycleEvents = declareEvents({
    hostStarted: { number: 1301, level: "info", text: "The host has started.", action: "None." },
    hostStopping: { number: 1302, level: "info", text: "The host was asked to stop.", action: "None." },
    hostStopped: { number: 1303, level: "info", text: "The host has stopped.", action: "None." },
    settingsReloaded: { number: 1304, level: "info", text: "A changed settings file was validated.", action: "None." },
    settingsRejected: {
        number: 1305,
        level: "error",
        text: "The changed settings file is invalid and was not applied.",
        action: "Correct the file; the previous settings remain in effect.",
    },
    uncaughtError: {
        number: 1306,
        level: "error",
        text: "An uncaught error ended the process.",
        action: "Report the error with its stack.",
    },
});

/** Callers may cache the directory's response for up to this multiple of its time to live. */
const directoryKeepFactor = 1.5;
/** Fraction of the stop time limit after which all new requests are rejected; earlier requests are expected to be served. */
const acceptTimeRatio = 0.35;
/** Fraction of the stop time limit after which requests in progress are ended. */
const exitTimeRatio = 0.93;
/** Fraction of the stop time limit after which the process exits, whatever answers are still on their way. */
const closeTimeRatio = 0.97;
/** Time in which a response that ends at its time limit reaches the caller. */
const lastResponseMs = 100;
/** How often a stopping host checks whether requests are in progress. */
const pollMs = 50;

/** Stops the host without losing requests. */
export class IngressLifecycle {
    readonly #clock: Clock;
    readonly #log: EventLog;
    readonly #registration: Registration;
    readonly #dutyLease: DutyLease;
    readonly #server: IngressServer;
    readonly #stopLimitMs: number;
    readonly #directoryKeepMs: number;
    readonly #relayed: () => number;
    readonly #endRequests: () => void;
    #stopRequestedMs: number | undefined;
    #drained: Promise<void> | undefined;
    /** Whether nothing is in progress any more and only the connections of callers close. */
    #isEnding = false;

    constructor(
        kernel: Kernel,
        options: {
            readonly registration: Registration;
            readonly lead: DutyLease;
            readonly server: IngressServer;
            readonly stopLimitMs: number;
            readonly directoryKeepMs: number;
            /** Number of other hosts' requests that this host sends to endpoints. */
            readonly relayed: () => number;
            /** Gives all requests in progress their final response. */
            readonly endRequests: () => void;
        },
    ) {
        this.#clock = kernel.clock;
        this.#log = kernel.log;
        this.#registration = options.registration;
        this.#dutyLease = options.lead;
        this.#server = options.server;
        this.#stopLimitMs = options.stopLimitMs;
        this.#directoryKeepMs = options.directoryKeepMs;
        this.#relayed = options.relayed;
        this.#endRequests = options.endRequests;
    }

    get isStopping(): boolean {
        return this.#stopRequestedMs !== undefined;
    }

    /** Whether new requests are rejected. */
    get isRefusing(): boolean {
        return this.#isEnding || this.#elapsedMs() > this.#stopLimitMs * acceptTimeRatio;
    }

    /** Time until all responses must have ended, in milliseconds; infinite unless the host stops. */
    stopLeftMs(): number {
        return this.#stopRequestedMs === undefined ?
            Infinity :
            this.#stopLimitMs * exitTimeRatio - lastResponseMs - this.#elapsedMs();
    }

    #elapsedMs(): number {
        return this.#stopRequestedMs === undefined ? 0 : this.#clock.monotonicMs() - this.#stopRequestedMs;
    }

    /**
     * Removes the host from the directory, then waits for callers to move and requests to finish; repeated calls share one promise. The
     * time limit began `delayMs` ago.
     */
    drain(reason: string, delayMs = 0): Promise<void> {
        this.#drained ??= this.#drain(reason, delayMs);
        return this.#drained;
    }

    async #drain(reason: string, delayMs: number): Promise<void> {
        const startMs = this.#clock.monotonicMs() - delayMs;
        this.#stopRequestedMs = startMs;
        this.#log.write(lifecycleEvents.hostStopping, {
            reason,
            inProgress: this.#server.inProgress,
            delayMs: Math.round(delayMs),
        });
        this.#server.closeConnections();
        void this.#registration.leave();
        void this.#dutyLease.release();
        const minimumMs = Math.min(delayMs + this.#directoryKeepMs * directoryKeepFactor, this.#stopLimitMs * acceptTimeRatio);
        for (;;) {
            const elapsedMs = this.#clock.monotonicMs() - startMs;
            const isIdle = elapsedMs >= minimumMs && this.#server.inProgress === 0 && this.#relayed() === 0;
            if (isIdle || elapsedMs >= this.#stopLimitMs * exitTimeRatio) {
                break;
            }
            await this.#clock.sleep(pollMs);
        }
        this.#isEnding = true;
        const inProgress = this.#server.inProgress;
        if (inProgress > 0) {
            this.#endRequests();
            await this.#clock.sleep(pollMs);
        }
        this.#server.endConnections();
        while (this.#server.openConnections > 0 && this.#clock.monotonicMs() - startMs < this.#stopLimitMs * closeTimeRatio) {
            await this.#clock.sleep(pollMs);
        }
        this.#log.write(lifecycleEvents.hostStopped, { inProgress });
    }
}
