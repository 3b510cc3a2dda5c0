import type { Clock } from "./clock.js";
import { invariant } from "./error.js";
import { declareEvents } from "./event.js";
import type { EventLog } from "./event.js";

/** A component of the process with its own state, sockets and lifecycle. */
export interface Service {
    /** Acquires resources; services that it looks up must be registered earlier. */
    start?(): Promise<void>;
    /** Waits for work in progress until the deadline (monotonic milliseconds), then releases resources. */
    stop?(deadlineMs: number): Promise<void>;
}

const events = declareEvents({
    serviceStarted: { number: 1001, level: "debug", text: "A service started.", action: "None." },
    serviceStopped: { number: 1002, level: "debug", text: "A service stopped.", action: "None." },
    serviceStopFailed: {
        number: 1003,
        level: "warn",
        text: "A service failed to stop cleanly.",
        action: "Report the error; the other services and the process still stop.",
    },
});

/** Options of `createKernel`. */
export interface KernelOptions {
    readonly clock: Clock;
    readonly log: EventLog;
}

/** A registry in which services look each other up by name and that starts and stops them in order. */
export class Kernel {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly #services = new Map<string, Service>();
    readonly #started: string[] = [];

    constructor(options: KernelOptions) {
        this.clock = options.clock;
        this.log = options.log;
    }

    /** Registers a service under a unique name; `start` and `stop` are called if it has them. */
    register(name: string, service: object): void {
        invariant(!this.#services.has(name), `A service is already registered as '${name}'.`);
        this.#services.set(name, service);
    }

    /** Returns a service by name; throws an `InvariantError` if the name is not registered. */
    get<T extends object>(name: string): T {
        const service = this.#services.get(name);
        invariant(service !== undefined, `No service is registered as '${name}'.`);
        return service as T;
    }

    /** Returns a service by name, or `undefined` if the name is not registered. */
    find<T extends object>(name: string): T | undefined {
        return this.#services.get(name) as T | undefined;
    }

    /** Starts all services in registration order. */
    async start(): Promise<void> {
        for (const [name, service] of this.#services) {
            await service.start?.();
            this.#started.push(name);
            this.log.write(events.serviceStarted, { service: name });
        }
    }

    /** Stops all started services in reverse order, continuing after failures. */
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

/** Creates a kernel without services. */
export function createKernel(options: KernelOptions): Kernel {
    return new Kernel(options);
}
