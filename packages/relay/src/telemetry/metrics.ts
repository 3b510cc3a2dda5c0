import type { Service } from "@filbertrelay/kernel";
import { StatsD } from "hot-shots";

/** Tags of a metric; keep their number and cardinality low. */
export type MetricTags = Readonly<Record<string, string>>;

/** Counters and timings of the daemon; registered as `metrics` and listed in docs/METRICS.md. */
export class Metrics implements Service {
    readonly #client: StatsD;
    readonly #counters = new Map<string, number>();

    constructor(options: { readonly hostId: string; readonly statsdAddress?: string; }) {
        const [host, port] = (options.statsdAddress ?? "127.0.0.1:8125").split(":");
        this.#client = new StatsD({
            ...(host === undefined ? {} : { host }),
            port: Number(port),
            prefix: "filbertrelay.",
            globalTags: { host: options.hostId },
            mock: options.statsdAddress === undefined,
            maxBufferSize: 1_400,
            errorHandler: () => undefined,
        });
    }

    /** Adds to a counter. */
    increment(name: string, value = 1, tags: MetricTags = {}): void {
        this.#counters.set(name, (this.#counters.get(name) ?? 0) + value);
        this.#client.increment(name, value, { ...tags });
    }

    /** Records a duration in milliseconds. */
    timing(name: string, valueMs: number, tags: MetricTags = {}): void {
        this.#client.timing(name, valueMs, { ...tags });
    }

    /** Sets the current value of a gauge. */
    gauge(name: string, value: number, tags: MetricTags = {}): void {
        this.#client.gauge(name, value, { ...tags });
    }

    /** The values of all counters since the start, for the status page. */
    counters(): Readonly<Record<string, number>> {
        return Object.fromEntries([...this.#counters].sort(([left], [right]) => left.localeCompare(right)));
    }

    stop(): Promise<void> {
        return new Promise(resolve => this.#client.close(() => resolve()));
    }
}
