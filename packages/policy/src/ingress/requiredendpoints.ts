/** Decides how many endpoints a service needs. */
export interface RequiredEndpoints {
    /** Updates the demand, in busy endpoints; returns the number of endpoints that serve it within the latency objectives. */
    update(demand: number, nowMs: number): number;
    /** Sets a requirement that applies until the demand has been measured for the hold time. */
    assume(required: number, nowMs: number): void;
}

/** Options of `createRequiredEndpoints`. */
export interface RequiredEndpointsOptions {
    /** Fraction of an endpoint's time that may be busy; the rest keeps waiting times short during bursts. */
    readonly targetUtilization: number;
    /** Lower limit; also the requirement before any demand has been measured. */
    readonly minimum: number;
    /** How long the requirement of a demand peak is held. */
    readonly holdMs: number;
}

/** Follows a rise in demand at once and a fall only after `holdMs`, so that a short dip does not cause a stop and a new start. */
export function createRequiredEndpoints(options: RequiredEndpointsOptions): RequiredEndpoints {
    const peaks: { readonly required: number; readonly atMs: number; }[] = [];
    const recordPeak = (required: number, nowMs: number): number => {
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
        assume: (required, nowMs) => void recordPeak(required, nowMs),
        update: (demand, nowMs) => recordPeak(Math.max(options.minimum, Math.ceil(demand / options.targetUtilization)), nowMs),
    };
}

/** Endpoints that are running when a host starts planning. */
export interface InitialEndpoints {
    readonly onDemand: number;
    readonly reclaimable: number;
    /** Number of failure domains in which reclaimable endpoints can be ordered. */
    readonly failureDomains: number;
    /** Target fraction of an endpoint's time that is busy. */
    readonly targetUtilization: number;
}

/** Assumed utilization of on-demand endpoints that users start themselves; it is between 0.65 and 0.7 at their sites. */
const initialUtilization = 0.65;

/**
 * Estimates the endpoints required until the load is measured. On-demand endpoints were started by somebody who knew the load.
 * Reclaimable ones were ordered by this product, with a reserve that covers the loss of one failure domain.
 */
export function estimateInitialRequirement(
    { onDemand, reclaimable, failureDomains, targetUtilization }: InitialEndpoints,
): number {
    const afterDomainLoss = failureDomains > 1 ? reclaimable * (failureDomains - 1) / failureDomains : reclaimable;
    return Math.ceil(onDemand * initialUtilization / targetUtilization + afterDomainLoss);
}
