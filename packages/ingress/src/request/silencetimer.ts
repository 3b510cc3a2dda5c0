import type { IngressRoute } from "@filbertrelay/configuration";
import type { Clock } from "@filbertrelay/kernel";
import { computeSilenceTimeout } from "@filbertrelay/policy/ingress";

/** What the endpoint of the current attempt has done so far. */
export interface AttemptProgress {
    readonly expectedStartMs: number;
    readonly hasStarted: boolean;
    /** Whether the request may be sent to another endpoint after this one. */
    readonly isRepeatable: boolean;
}

/** Options of `SilenceTimer`. */
export interface SilenceTimerOptions {
    readonly clock: Clock;
    readonly route: IngressRoute;
    readonly onSilence: (limitMs: number, progress: AttemptProgress) => void;
}

/** Limits the time for which an endpoint may be silent during an attempt. */
export class SilenceTimer {
    readonly #options: SilenceTimerOptions;
    #cancel: (() => void) | undefined;
    /** When the timer calls back next; it waits anew if the endpoint has been heard from since. */
    #wakeMs = 0;
    #wait: { readonly dueMs: number; readonly limitMs: number; readonly progress: AttemptProgress; } | undefined;

    constructor(options: SilenceTimerOptions) {
        this.#options = options;
    }

    /** Starts waiting anew, as the endpoint has just been heard from. */
    restart(progress: AttemptProgress): void {
        const { clock, route } = this.#options;
        const limitMs = computeSilenceTimeout({
            kind: route.kind,
            isRepeatable: progress.isRepeatable,
            objectiveMs: route.objectiveMs,
            pauseLimitMs: route.pauseLimitMs ?? route.objectiveMs,
            expectedStartMs: progress.expectedStartMs,
            hasStarted: progress.hasStarted,
        });
        if (limitMs === undefined) {
            this.cancel();
            return;
        }
        const dueMs = clock.monotonicMs() + limitMs;
        this.#wait = { dueMs, limitMs, progress };
        if (this.#cancel === undefined || dueMs < this.#wakeMs) {
            this.#schedule(dueMs, limitMs);
        }
    }

    cancel(): void {
        this.#cancel?.();
        this.#cancel = undefined;
        this.#wait = undefined;
    }

    #schedule(dueMs: number, delayMs: number): void {
        this.#cancel?.();
        this.#wakeMs = dueMs;
        this.#cancel = this.#options.clock.afterInput(delayMs, () => this.#wake());
    }

    #wake(): void {
        this.#cancel = undefined;
        const wait = this.#wait;
        if (wait === undefined) {
            return;
        }
        // Timers may call back a fraction of a millisecond early.
        const leftMs = wait.dueMs - this.#options.clock.monotonicMs();
        if (leftMs >= 1) {
            this.#schedule(wait.dueMs, leftMs);
            return;
        }
        this.#wait = undefined;
        this.#options.onSilence(wait.limitMs, wait.progress);
    }
}
