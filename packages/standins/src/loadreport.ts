import type { EngineModel, ModelLoad } from "./enginemodel.js";

/** A load report as an engine gives it. */
export interface LoadReport extends ModelLoad {
    readonly reportedAt: string;
    readonly tokensPerSecond: number;
}

const reportIntervalMs = 100;
const rateWindowReports = 10;

/** Takes load reports at a fixed interval and shows them with a lag. */
export class LoadReports {
    readonly #model: EngineModel;
    readonly #lagMs: number;
    readonly #timer: NodeJS.Timeout;
    readonly #reports: { readonly takenMs: number; readonly producedTokens: number; readonly report: LoadReport; }[] = [];

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
        return entry?.report ?? this.#build(0);
    }

    close(): void {
        clearInterval(this.#timer);
    }

    #take(): void {
        const takenMs = performance.now();
        const { producedTokens } = this.#model.totals;
        const former = this.#reports.at(-rateWindowReports) ?? this.#reports[0];
        const seconds = former === undefined ? 0 : (takenMs - former.takenMs) / 1_000;
        const rate = former === undefined || seconds === 0 ? 0 : (producedTokens - former.producedTokens) / seconds;
        this.#reports.push({ takenMs, producedTokens, report: this.#build(rate) });
        const kept = rateWindowReports + Math.ceil(this.#lagMs / reportIntervalMs) + 1;
        if (this.#reports.length > kept) {
            this.#reports.shift();
        }
    }

    #build(tokensPerSecond: number): LoadReport {
        return { reportedAt: new Date().toISOString(), tokensPerSecond, ...this.#model.load() };
    }
}
