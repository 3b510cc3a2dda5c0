import type { Clock } from "./clock.js";

/** Runs an operation repeatedly, with a pause after each run, until stopped. */
export class RepeatedTask<Result = void> {
    readonly #clock: Clock;
    readonly #work: () => Promise<Result>;
    readonly #pauseMs: (result: Result) => number;
    #isStopped = false;
    #loop: Promise<void> | undefined;
    #pauseEnd = new AbortController();
    #isWoken = false;

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
        return this.#isStopped;
    }

    start(): void {
        this.#loop = this.#run();
    }

    /** Starts the next run without a pause. */
    wake(): void {
        this.#isWoken = true;
        this.#pauseEnd.abort(new Error("The task was woken."));
    }

    /** Prevents further runs and waits for one in progress. */
    async stop(): Promise<void> {
        this.#isStopped = true;
        this.#pauseEnd.abort(new Error("The task was stopped."));
        await this.#loop;
    }

    async #run(): Promise<void> {
        while (!this.isStopped) {
            const result = await this.#work();
            await this.#pause(this.#pauseMs(result));
        }
    }

    async #pause(ms: number): Promise<void> {
        if (this.#isStopped || this.#isWoken) {
            this.#isWoken = false;
            return;
        }
        this.#pauseEnd = new AbortController();
        try {
            await this.#clock.sleep(ms, this.#pauseEnd.signal);
        }
        catch {
            // Ended early by `wake` or `stop`.
        }
        this.#isWoken = false;
    }
}
