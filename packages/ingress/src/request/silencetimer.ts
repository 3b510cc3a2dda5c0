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
    #cancel: () => void = () => undefined;

    constructor(options: SilenceTimerOptions) {
        this.#options = options;
    }

    /** Starts waiting anew, as the endpoint has just been heard from. */
    restart(progress: AttemptProgress): void {
        this.#cancel();
        const { clock, route, onSilence } = this.#options;
        const limitMs = computeSilenceTimeout({
            kind: route.kind,
            isRepeatable: progress.isRepeatable,
            objectiveMs: route.objectiveMs,
            pauseLimitMs: route.pauseLimitMs ?? route.objectiveMs,
            expectedStartMs: progress.expectedStartMs,
            hasStarted: progress.hasStarted,
        });
        if (limitMs !== undefined) {
            this.#cancel = clock.after(limitMs, () => onSilence(limitMs, progress));
        }
    }

    cancel(): void {
        this.#cancel();
    }
}
