import type { Clock } from "./clock.js";

/** Work that is repeated with a pause between its runs, until it is stopped. */
export class RepeatedTask {
    readonly #clock: Clock;
    readonly #pauseMs: number;
    readonly #work: () => Promise<void>;
    readonly #stopped = new AbortController();
    #loop: Promise<void> | undefined;

    constructor(clock: Clock, options: { readonly pauseMs: number; readonly work: () => Promise<void>; }) {
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
            await this.#work();
            try {
                await this.#clock.sleep(this.#pauseMs, this.#stopped.signal);
            }
            catch {
                return;
            }
        }
    }
}
