/** Decides how many endpoints a service needs. */
export interface RequiredEndpoints {
    /** Takes the present demand in busy endpoints; gives the endpoints that carry it within the objectives. */
    update(demand: number, nowMs: number): number;
    /** Takes a number that is needed until the demand has been measured for the hold time. */
    assume(required: number, nowMs: number): void;
}

/** Options of `createRequiredEndpoints`. */
export interface RequiredEndpointsOptions {
    /** Part of an endpoint's time that may be busy; the rest keeps waiting short when requests come in bunches. */
    readonly targetUtilization: number;
    /** Needed before any demand has been measured, and the lower limit at all times. */
    readonly minimum: number;
    /** How long a peak of the demand keeps its endpoints. */
    readonly holdMs: number;
}

/** Creates a decision that follows a rise at once and a fall after a while, so that a dip does not cost a start. */
export function createRequiredEndpoints(options: RequiredEndpointsOptions): RequiredEndpoints {
    const peaks: { readonly required: number; readonly atMs: number; }[] = [];
    const note = (required: number, nowMs: number): number => {
        while ((peaks[0]?.atMs ?? Infinity) < nowMs - options.holdMs) {
            peaks.shift();
        }
        while ((peaks.at(-1)?.required ?? Infinity) <= required) {
            peaks.pop();
        }
        peaks.push({ required, atMs: nowMs });
        return peaks[0]?.required ?? required;
    };
    return {
        assume: (required, nowMs) => void note(required, nowMs),
        update: (demand, nowMs) => note(Math.max(options.minimum, Math.ceil(demand / options.targetUtilization)), nowMs),
    };
}
