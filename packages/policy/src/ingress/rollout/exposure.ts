/** Share of the permitted requests that is not used, for requests that a host sends without choosing to, such as continued streams. */
const reserveShare = 0.05;

/**
 * Limits the requests that this host sends to a version that is not proven. The bound holds for each host at each moment, so it holds
 * for the sum over all hosts, whatever they know of each other. Not kept over a restart: the next process counts from zero.
 */
export class ExposureLimit {
    readonly #ratio: number;
    #requests = 0;
    #exposed = 0;
    #credit: number;

    /** `ratio` is the greatest permitted share; `firstCredit`, in [0, 1), spreads the first requests of the hosts over time. */
    constructor(ratio: number, firstCredit = 0) {
        this.#ratio = ratio;
        this.#credit = firstCredit;
    }

    /** Requests of the service that this host has sent, and those of them that went to the unproven version. */
    get counts(): { readonly requests: number; readonly exposed: number; } {
        return { requests: this.#requests, exposed: this.#exposed };
    }

    /** Whether the next new request may go to the unproven version. `share` is that of the roll-out. */
    mayExpose(share: number): boolean {
        return this.#credit + share >= 1 && this.#exposed + 1 <= (this.#requests + 1) * this.#ratio * (1 - reserveShare);
    }

    /** Records a new request, sent to any version. */
    recordRequest(share: number): void {
        this.#requests += 1;
        this.#credit = Math.min(1, this.#credit + share);
    }

    /** Records a request that was sent to the unproven version, for whatever reason. */
    recordExposed(): void {
        this.#exposed += 1;
        this.#credit = Math.max(0, this.#credit - 1);
    }
}

/** What a host knows of the latest step of a roll-out. */
export interface StepKnowledge {
    readonly nowMs: number;
    /** When this host received the latest step. */
    readonly stepSeenMs: number;
    /** A time at which this host's copy of the store held all that the store held. */
    readonly copyConfirmedMs: number;
    /** Since when this host has results that the store lacks; `undefined` without any. */
    readonly unreportedSinceMs: number | undefined;
}

/** Share of the time to roll back for which a step stays valid. */
const stepShare = 0.5;
/** Share of the time to roll back for which a host may keep results to itself. */
const reportShare = 0.3;

/** Whether a host may still send requests to an unproven version. The holder renews the step while it watches the results. */
export function isStepValid(
    { nowMs, stepSeenMs, copyConfirmedMs, unreportedSinceMs }: StepKnowledge,
    rollbackMs: number,
): boolean {
    return nowMs - Math.min(stepSeenMs, copyConfirmedMs) < rollbackMs * stepShare &&
        (unreportedSinceMs === undefined || nowMs - unreportedSinceMs < rollbackMs * reportShare);
}
