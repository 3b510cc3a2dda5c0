/** How loaded a host was over the last few hundred milliseconds. */
export interface HostPressure {
    /** Fraction of the time in which the host had work; 1 when it never waited for input. */
    readonly utilization: number;
    /** Mean time that requests were readable before they were read, in milliseconds. */
    readonly readDelayMs: number;
    /** Length of the measured window, in milliseconds. */
    readonly windowMs: number;
}

/** Long enough that a single pause of the garbage collector isn't taken for load. */
const shortestWindowMs = 250;

interface Window {
    readonly spanMs: number;
    readonly busyMs: number;
    readonly delaySumMs: number;
    readonly reads: number;
}

/** Measures pressure when requests are read; an idle host measures nothing. */
export class PressureMeter {
    #startMs: number;
    #startBusyMs: number;
    #delaySumMs = 0;
    #reads = 0;
    #previous: Window | undefined;

    /** `busyMs` is the time in which the host had work, from an arbitrary origin. */
    constructor(nowMs: number, busyMs: number) {
        this.#startMs = nowMs;
        this.#startBusyMs = busyMs;
    }

    /** Records a request that was readable for `delayMs` before it was read. */
    recordRead(delayMs: number): void {
        this.#delaySumMs += delayMs;
        this.#reads += 1;
    }

    /** Whether the current window is long enough to be closed. */
    isDue(nowMs: number): boolean {
        return nowMs - this.#startMs >= shortestWindowMs;
    }

    /** Closes the window. The result covers the previous window as well if it is not much older. */
    close(nowMs: number, busyMs: number): HostPressure {
        const window: Window = {
            spanMs: Math.max(1, nowMs - this.#startMs),
            busyMs: busyMs - this.#startBusyMs,
            delaySumMs: this.#delaySumMs,
            reads: this.#reads,
        };
        const covered = this.#previous === undefined || window.spanMs > 2 * shortestWindowMs ?
            [window] :
            [this.#previous, window];
        this.#previous = window;
        this.#startMs = nowMs;
        this.#startBusyMs = busyMs;
        this.#delaySumMs = 0;
        this.#reads = 0;
        const sum = (part: (each: Window) => number): number => covered.reduce((total, each) => total + part(each), 0);
        const reads = sum(each => each.reads);
        return {
            utilization: Math.min(1, Math.max(0, sum(each => each.busyMs) / sum(each => each.spanMs))),
            readDelayMs: reads === 0 ? 0 : sum(each => each.delaySumMs) / reads,
            windowMs: window.spanMs,
        };
    }
}
