import type { Scaling } from "@filbertrelay/configuration";
import { planPlacement } from "../planner/placement.js";
import type { HostOffer, Placement } from "../planner/placement.js";

/** Endpoints of one failure domain by the way in which they are paid for. */
export interface DomainCounts {
    readonly reclaimable: number;
    readonly onDemand: number;
}

/** What the plan starts from. */
export interface EndpointPlanInput {
    readonly scaling: Scaling;
    /** Endpoints that carry the load within the objectives; reclaimable ones are ordered so that these outlast a loss. */
    readonly requiredEndpoints: number;
    /** Endpoints without which the load can't be carried; dearer ones are ordered when fewer serve. */
    readonly essentialEndpoints: number;
    /** Endpoints that take requests now, by failure domain. */
    readonly serving: ReadonlyMap<string, DomainCounts>;
    /** Reclaimable endpoints were reclaimed or refused lately, so that the next loss could not be made good by them. */
    readonly isScarce: boolean;
}

/**
 * Plans how many endpoints of each kind should run in each failure domain. Reclaimable ones are spread so that enough remain
 * when one domain loses them; endpoints that stay only fill what is missing until the reclaimable ones serve.
 */
export function planEndpoints(input: EndpointPlanInput): ReadonlyMap<string, DomainCounts> {
    const { scaling, serving } = input;
    const domains = [...new Set([...Object.keys(scaling.domainPrices), ...serving.keys()])].sort();
    const reclaimable = spreadReclaimable(scaling, input.requiredEndpoints, domains);
    const servingReclaimable = sum(domains.map(domain => serving.get(domain)?.reclaimable ?? 0));
    const fallback = scaling.reclaimablePriceRatio === undefined ? input.requiredEndpoints : input.essentialEndpoints;
    // While replacements are refused, endpoints that stay have to cover the loss of one more failure domain.
    const atRisk = input.isScarce ? Math.max(0, ...domains.map(domain => serving.get(domain)?.reclaimable ?? 0)) : 0;
    let missing = Math.max(0, fallback - (servingReclaimable - atRisk));
    const counts = new Map<string, DomainCounts>();
    for (const domain of byPrice(domains, scaling)) {
        const wanted = reclaimable.get(domain) ?? 0;
        // The limit of a domain counts both kinds; reclaimable endpoints that don't serve yet leave their places free.
        const places = Math.max(0, scaling.maximum - (serving.get(domain)?.reclaimable ?? 0));
        const least = wanted === 0 ? scaling.minimum : 0;
        const onDemand = Math.min(
            places,
            Math.max(least, Math.ceil(missing / domains.length), keepRunning(domain, missing, input)),
        );
        missing = Math.max(0, missing - onDemand);
        counts.set(domain, {
            reclaimable: Math.min(wanted, scaling.maximum - Math.min(onDemand, scaling.maximum - 1)),
            onDemand,
        });
    }
    return counts;
}

/** Endpoints that run already fill what is missing at once, while others would have to start. */
function keepRunning(domain: string, missing: number, { serving }: EndpointPlanInput): number {
    return Math.min(missing, serving.get(domain)?.onDemand ?? 0);
}

function spreadReclaimable(scaling: Scaling, required: number, domains: readonly string[]): ReadonlyMap<string, number> {
    const { reclaimablePriceRatio } = scaling;
    if (reclaimablePriceRatio === undefined) {
        return new Map();
    }
    const offers = domains.map((failureDomain): HostOffer => ({
        failureDomain,
        hostClass: "endpoint",
        enginesPerHost: 1,
        purchase: "reclaimable",
        price: (scaling.domainPrices[failureDomain] ?? 1) * reclaimablePriceRatio,
        maximumHosts: scaling.maximum,
    }));
    const placement = findPlacement(offers, required);
    return new Map(domains.map(domain => [
        domain,
        Math.max(
            scaling.minimum,
            sum((placement?.placed ?? []).filter(({ offer }) => offer.failureDomain === domain).map(({ hosts }) => hosts)),
        ),
    ]));
}

/** The placement for the most endpoints up to the required number that the limits allow. */
function findPlacement(offers: readonly HostOffer[], required: number): Placement | undefined {
    for (let engines = required; engines > 0; engines -= 1) {
        const placement = planPlacement(offers, { requiredEngines: engines });
        if (placement.ok) {
            return placement.value;
        }
    }
    // A single domain can't survive its own loss; it is filled as far as its limit goes.
    const placement = planPlacement(offers, { requiredEngines: Math.max(1, required), ignoreFailureDomains: true });
    return placement.ok ? placement.value : undefined;
}

function byPrice(domains: readonly string[], scaling: Scaling): readonly string[] {
    return [...domains].sort((left, right) => (scaling.domainPrices[left] ?? 1) - (scaling.domainPrices[right] ?? 1));
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
