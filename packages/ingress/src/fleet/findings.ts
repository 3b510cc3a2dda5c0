import type { EndpointLimits, LimitReport, Quarantine, QuarantineReport } from "@filbertrelay/policy/ingress";

/** The part of the reports between hosts that tells what they found out about endpoints and requests. */
export interface FindingsReport {
    readonly suspects?: QuarantineReport | undefined;
    readonly limits?: LimitReport | undefined;
}

/** Options of `SharedFindings`. */
export interface SharedFindingsOptions {
    readonly quarantine: Quarantine;
    readonly limits: EndpointLimits;
}

/** What hosts find out about endpoints and requests and pass on to each other, whichever host it came from. */
export class SharedFindings {
    readonly #options: SharedFindingsOptions;

    constructor(options: SharedFindingsOptions) {
        this.#options = options;
    }

    describe(nowMs: number): { suspects?: QuarantineReport; limits?: LimitReport; } {
        const suspects = this.#options.quarantine.report(nowMs);
        const limits = this.#options.limits.report(nowMs);
        return { ...(suspects === undefined ? {} : { suspects }), ...(limits === undefined ? {} : { limits }) };
    }

    /** `elapsedMs` is how long ago the report was written at most. */
    merge({ suspects, limits }: FindingsReport, nowMs: number, elapsedMs: number): void {
        if (suspects !== undefined) {
            this.#options.quarantine.merge(suspects, nowMs, elapsedMs);
        }
        if (limits !== undefined) {
            this.#options.limits.merge(limits, nowMs, elapsedMs);
        }
    }
}
