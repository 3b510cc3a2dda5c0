import type { EngineDriver } from "@filbertrelay/endpoints";
import type { Clock, EndpointId } from "@filbertrelay/kernel";
import type { LoadTable, PrefixIndex } from "@filbertrelay/policy";

const minimumLoadPeriodMs = 1_000;
/** Up to 45 hosts read each load every second; 360 hosts read it every 8 s, which keeps the reads of 32 engines below 2 KB/s. */
const loadPeriodPerHostMs = 22;
const cacheEventTimeoutMs = 10_000;
const minimumCacheEventPeriodMs = 500;
const retryDelayMs = 1_000;

/** The engine that a watch reads and the tables that it updates. */
export interface EngineWatchOptions {
    readonly clock: Clock;
    readonly engines: EngineDriver;
    readonly endpointId: EndpointId;
    readonly address: string;
    readonly index: PrefixIndex;
    readonly loads: LoadTable;
    /** The number of entry hosts in the fleet. */
    readonly fleetSize: () => number;
}

/** Reads the load and the cache events of one engine periodically. */
export class EngineWatch {
    readonly #options: EngineWatchOptions;
    readonly #stopping = new AbortController();

    constructor(options: EngineWatchOptions) {
        this.#options = options;
    }

    get address(): string {
        return this.#options.address;
    }

    start(): void {
        void this.#loadLoop();
        void this.#cacheEventLoop();
    }

    stop(): void {
        this.#stopping.abort(new Error("The engine watch was stopped."));
    }

    async #loadLoop(): Promise<void> {
        const { engines, loads, endpointId, address, fleetSize } = this.#options;
        while (!this.#stopping.signal.aborted) {
            const load = await engines.readLoad(address);
            if (load.ok && !this.#stopping.signal.aborted) {
                loads.recordReport(endpointId, load.value);
            }
            await this.#sleep(Math.max(minimumLoadPeriodMs, fleetSize() * loadPeriodPerHostMs));
        }
    }

    async #cacheEventLoop(): Promise<void> {
        const { engines, index, endpointId, address } = this.#options;
        const { signal } = this.#stopping;
        while (!signal.aborted) {
            const events = await engines.readCacheEvents(address, index.lastSequence(endpointId), {
                timeoutMs: cacheEventTimeoutMs,
                signal,
            });
            if (signal.aborted) {
                return;
            }
            if (events.ok) {
                index.applyCacheEvents(endpointId, events.value);
            }
            await this.#sleep(events.ok ? minimumCacheEventPeriodMs : retryDelayMs);
        }
    }

    async #sleep(ms: number): Promise<void> {
        await this.#options.clock.sleep(ms, this.#stopping.signal).catch(() => undefined);
    }
}
