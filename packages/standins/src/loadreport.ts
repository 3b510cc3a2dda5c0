import type { EngineModel, ModelLoad } from "./enginemodel.js";

/** A load report as an engine gives it. */
export interface LoadReport extends ModelLoad {
    readonly reportedAt: string;
    /** Prompt tokens per second of a busy engine. */
    readonly tokensPerSecond: number;
}

const reportIntervalMs = 100;

/** Takes load reports at a fixed interval and shows them with a lag. */
export class LoadReports {
    readonly #model: EngineModel;
    readonly #lagMs: number;
    readonly #tokensPerSecond: number;
    readonly #timer: NodeJS.Timeout;
    readonly #reports: { readonly takenMs: number; readonly report: LoadReport; }[] = [];

    constructor(model: EngineModel, options: { readonly lagMs: number; readonly tokensPerSecond: number; }) {
        this.#model = model;
        this.#lagMs = options.lagMs;
        this.#tokensPerSecond = options.tokensPerSecond;
        this.#take();
        this.#timer = setInterval(() => this.#take(), reportIntervalMs);
    }

    /** The newest report that is older than the lag; the first one until then. */
    current(): LoadReport {
        const limitMs = performance.now() - this.#lagMs;
        const entry = this.#reports.findLast(candidate => candidate.takenMs <= limitMs) ?? this.#reports[0];
        return entry?.report ?? this.#build();
    }

    close(): void {
        clearInterval(this.#timer);
    }

    #take(): void {
        const takenMs = performance.now();
        this.#reports.push({ takenMs, report: this.#build() });
        const kept = Math.ceil(this.#lagMs / reportIntervalMs) + 2;
        if (this.#reports.length > kept) {
            this.#reports.shift();
        }
    }

    #build(): LoadReport {
        return { reportedAt: new Date().toISOString(), tokensPerSecond: this.#tokensPerSecond, ...this.#model.load() };
    }
}
