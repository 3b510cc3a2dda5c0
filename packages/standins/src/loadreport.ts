import type { EngineModel, ModelLoad } from "./enginemodel.js";

/** A load report as an engine gives it. */
export interface LoadReport extends ModelLoad {
    readonly reportedAt: string;
}

const reportIntervalMs = 100;

/** Takes load reports at a fixed interval and shows them with a lag. */
export class LoadReports {
    readonly #model: EngineModel;
    readonly #lagMs: number;
    readonly #timer: NodeJS.Timeout;
    readonly #reports: { readonly takenMs: number; readonly report: LoadReport; }[] = [];

    constructor(model: EngineModel, lagMs: number) {
        this.#model = model;
        this.#lagMs = lagMs;
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
        this.#reports.push({ takenMs: performance.now(), report: this.#build() });
        if (this.#reports.length > Math.ceil(this.#lagMs / reportIntervalMs) + 2) {
            this.#reports.shift();
        }
    }

    #build(): LoadReport {
        return { reportedAt: new Date().toISOString(), ...this.#model.load() };
    }
}
