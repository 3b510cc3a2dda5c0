import type { Clock, EventLog, Kernel } from "@filbertrelay/kernel";
import { declareEvents } from "@filbertrelay/kernel";
import type { IngressServer } from "./caller/server.js";
import type { Lead } from "./duty/lead.js";
import type { Registration } from "./fleet/registration.js";

/** Log events of a host's start and stop. */
export const lifecycleEvents = declareEvents({
    hostStarted: { number: 1301, level: "info", text: "The host serves.", action: "None." },
    hostStopping: { number: 1302, level: "info", text: "The host was asked to stop.", action: "None." },
    hostStopped: { number: 1303, level: "info", text: "The host has stopped.", action: "None." },
    settingsReloaded: { number: 1304, level: "info", text: "The settings file was read again.", action: "None." },
    settingsRejected: {
        number: 1305,
        level: "error",
        text: "The settings file is not valid and was not applied.",
        action: "Correct the file; the former settings stay in force.",
    },
    hostDefect: {
        number: 1306,
        level: "error",
        text: "A defect stopped the process.",
        action: "Report the error with its stack.",
    },
});

/** Callers may keep the directory's answer this many times longer than they were told. */
const directoryKeepFactor = 1.5;
/** Part of the time to stop after which all new requests are refused; the users expect those sent before to be answered. */
const acceptShare = 0.35;
/** A request is taken only if this many times the mean duration of its service fits into the time that is left. */
const durationFactor = 1.5;
/** Part of the time to stop after which the process ends whatever is in progress. */
const endShare = 0.93;
/** How often a stopping host looks whether requests are in progress. */
const pollMs = 50;

/** Starts and stops the host in an order that loses no request. */
export class IngressLifecycle {
    readonly #clock: Clock;
    readonly #log: EventLog;
    readonly #registration: Registration;
    readonly #lead: Lead;
    readonly #server: IngressServer;
    readonly #stopLimitMs: number;
    readonly #directoryKeepMs: number;
    #stopAskedMs: number | undefined;
    #drained: Promise<void> | undefined;

    constructor(
        kernel: Kernel,
        options: {
            readonly registration: Registration;
            readonly lead: Lead;
            readonly server: IngressServer;
            readonly stopLimitMs: number;
            readonly directoryKeepMs: number;
        },
    ) {
        this.#clock = kernel.clock;
        this.#log = kernel.log;
        this.#registration = options.registration;
        this.#lead = options.lead;
        this.#server = options.server;
        this.#stopLimitMs = options.stopLimitMs;
        this.#directoryKeepMs = options.directoryKeepMs;
    }

    get isStopAsked(): boolean {
        return this.#stopAskedMs !== undefined;
    }

    /** Whether a new request that takes this long on average is refused, because it might not finish before the end. */
    isRefusing(durationMs: number): boolean {
        if (this.#stopAskedMs === undefined) {
            return false;
        }
        const elapsedMs = this.#clock.monotonicMs() - this.#stopAskedMs;
        return elapsedMs > this.#stopLimitMs * acceptShare ||
            elapsedMs + durationMs * durationFactor > this.#stopLimitMs * endShare;
    }

    /** Leaves the directory, lets callers move and requests finish, then resolves; a repeated call waits for the same end. */
    drain(reason: string): Promise<void> {
        this.#drained ??= this.#drain(reason);
        return this.#drained;
    }

    async #drain(reason: string): Promise<void> {
        const startMs = this.#clock.monotonicMs();
        this.#stopAskedMs = startMs;
        this.#log.write(lifecycleEvents.hostStopping, { reason, inProgress: this.#server.inProgress });
        this.#server.closeConnections();
        void this.#registration.leave();
        void this.#lead.release();
        const leastMs = Math.min(this.#directoryKeepMs * directoryKeepFactor, this.#stopLimitMs * acceptShare);
        for (;;) {
            const elapsedMs = this.#clock.monotonicMs() - startMs;
            const isIdle = elapsedMs >= leastMs && this.#server.inProgress === 0;
            if (isIdle || elapsedMs >= this.#stopLimitMs * endShare) {
                break;
            }
            await this.#clock.sleep(pollMs);
        }
        this.#log.write(lifecycleEvents.hostStopped, { inProgress: this.#server.inProgress });
    }
}
