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

/** Endpoints that run when a host begins to plan. */
export interface FoundEndpoints {
    readonly onDemand: number;
    readonly reclaimable: number;
    /** Failure domains in which reclaimable endpoints can be ordered. */
    readonly failureDomains: number;
    /** Part of an endpoint's time that should be busy. */
    readonly targetUtilization: number;
}

/** Part of their time for which the users keep the endpoints busy that they start with; it is between 0.65 and 0.7 on their sites. */
const foundUtilization = 0.65;

/**
 * Endpoints that are needed until the load is measured. Those that stay were started by somebody who knew the load; reclaimable ones
 * were ordered by this product, with as many in reserve as one failure domain loses at once.
 */
export function assumeRequired({ onDemand, reclaimable, failureDomains, targetUtilization }: FoundEndpoints): number {
    const outlasting = failureDomains > 1 ? reclaimable * (failureDomains - 1) / failureDomains : reclaimable;
    return Math.ceil(onDemand * foundUtilization / targetUtilization + outlasting);
}
