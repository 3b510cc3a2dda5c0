import type { Clock } from "./clock.js";

/** Work that is repeated with a pause between its runs, until it is stopped. */
export class RepeatedTask<Result = void> {
    readonly #clock: Clock;
    readonly #work: () => Promise<Result>;
    readonly #pauseMs: (result: Result) => number;
    readonly #stopped = new AbortController();
    #loop: Promise<void> | undefined;

    /** `pauseMs` gives the pause after a run from its result. */
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

    /** Lets a run in progress end and starts no further one. */
    async stop(): Promise<void> {
        this.#stopped.abort(new Error("The task stops."));
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
