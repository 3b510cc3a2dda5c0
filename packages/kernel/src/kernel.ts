import type { Clock } from "./clock.js";
import { invariant } from "./error.js";
import { declareEvents } from "./event.js";
import type { EventLog } from "./event.js";

/** A part of the process with its own state and sockets. */
export interface Service {
    /** Opens what the service needs; services it names must be registered before. */
    start?(): Promise<void>;
    /** Finishes work in progress until the deadline (monotonic milliseconds), then closes. */
    stop?(deadlineMs: number): Promise<void>;
}

const events = declareEvents({
    serviceStarted: { number: 1001, level: "debug", text: "A service started.", action: "None." },
    serviceStopped: { number: 1002, level: "debug", text: "A service stopped.", action: "None." },
    serviceStopFailed: {
        number: 1003,
        level: "warn",
        text: "A service failed while it stopped.",
        action: "Report the error; the process still stops.",
    },
});

/** Options of `createKernel`. */
export interface KernelOptions {
    readonly clock: Clock;
    readonly log: EventLog;
}

/** A registry of services that find each other by name and start and stop in order. */
export class Kernel {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly #services = new Map<string, Service>();
    readonly #started: string[] = [];

    constructor(options: KernelOptions) {
        this.clock = options.clock;
        this.log = options.log;
    }

    /** Adds a service under a name that is not taken; `start` and `stop` are called where it has them. */
    register(name: string, service: object): void {
        invariant(!this.#services.has(name), `The service name '${name}' is registered twice.`);
        this.#services.set(name, service);
    }

    /** Finds a service by name; a name that is not registered is a broken invariant. */
    get<T extends object>(name: string): T {
        const service = this.#services.get(name);
        invariant(service !== undefined, `No service is registered as '${name}'.`);
        return service as T;
    }

    /** Starts all services in the order of registration. */
    async start(): Promise<void> {
        for (const [name, service] of this.#services) {
            await service.start?.();
            this.#started.push(name);
            this.log.write(events.serviceStarted, { service: name });
        }
    }

    /** Stops all started services in reverse order; a failure of one does not keep the others from stopping. */
    async stop(deadlineMs: number): Promise<void> {
        for (let name = this.#started.pop(); name !== undefined; name = this.#started.pop()) {
            try {
                await this.#services.get(name)?.stop?.(deadlineMs);
                this.log.write(events.serviceStopped, { service: name });
            }
            catch (error) {
                this.log.write(events.serviceStopFailed, { service: name, error: String(error) });
            }
        }
    }
}

/** Creates an empty kernel. */
export function createKernel(options: KernelOptions): Kernel {
    return new Kernel(options);
}
