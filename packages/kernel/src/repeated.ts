import type { Clock } from "./clock.js";

/** Runs an operation repeatedly, with a pause after each run, until stopped. */
export class RepeatedTask<Result = void> {
    readonly #clock: Clock;
    readonly #work: () => Promise<Result>;
    readonly #pauseMs: (result: Result) => number;
    readonly #stopped = new AbortController();
    #loop: Promise<void> | undefined;

    /** `pauseMs` computes the pause after a run from its result. */
    constructor(
        clock: Clock,
        options: { readonly work: () => Promise<Result>; readonly pauseMs: (result: Result) => number; },
    ) {
        this.#clock = clock;
        this.#pauseMs = options.pauseMs;
        this.#work = options.work;
    }

    get isStopped(): boolean {
        return this.#stopped.signal.aborted;
    }

    start(): void {
        this.#loop = this.#run();
    }

    /** Prevents further runs and waits for one in progress. */
    async stop(): Promise<void> {
        this.#stopped.abort(new Error("The task was stopped."));
        await this.#loop;
    }

    async #run(): Promise<void> {
        while (!this.isStopped) {
            const result = await this.#work();
            try {
                await this.#clock.sleep(this.#pauseMs(result), this.#stopped.signal);
            }
            catch {
                return;
            }
        }
    }
}
