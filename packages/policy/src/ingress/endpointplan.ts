import type { Scaling } from "@filbertrelay/configuration";
import { planPlacement } from "../planner/placement.js";
import type { HostOffer, Placement } from "../planner/placement.js";

/** Endpoint counts of one failure domain by purchase type. */
export interface DomainCounts {
    readonly reclaimable: number;
    readonly onDemand: number;
}

/** Input of `planEndpoints`. */
export interface EndpointPlanInput {
    readonly scaling: Scaling;
    /** Endpoints that serve the load within the objectives; enough reclaimable ones are ordered to keep this number after the loss of a domain. */
    readonly requiredEndpoints: number;
    /** Minimum number of endpoints that can serve the load; on-demand ones are ordered when fewer are serving. */
    readonly essentialEndpoints: number;
    /** Endpoints that currently take requests, by failure domain. */
    readonly serving: ReadonlyMap<string, DomainCounts>;
    /** Reclaimable endpoints were recently reclaimed or refused, so the next loss can't be replaced by reclaimable ones. */
    readonly isScarce: boolean;
}

/**
 * Plans how many endpoints of each purchase type should run in each failure domain. Reclaimable ones are spread so that enough
 * remain when one domain loses its own; on-demand ones only cover the shortfall until the reclaimable ones are serving.
 */
export function planEndpoints(input: EndpointPlanInput): ReadonlyMap<string, DomainCounts> {
    const { scaling, serving } = input;
    const domains = [...new Set([...Object.keys(scaling.domainPrices), ...serving.keys()])].sort();
    const reclaimable = spreadReclaimable(scaling, input.requiredEndpoints, domains);
    const servingReclaimable = sum(domains.map(domain => serving.get(domain)?.reclaimable ?? 0));
    const fallback = scaling.reclaimablePriceRatio === undefined ? input.requiredEndpoints : input.essentialEndpoints;
    // While replacements are refused, on-demand endpoints have to cover the loss of one more failure domain.
    const atRisk = input.isScarce ? Math.max(0, ...domains.map(domain => serving.get(domain)?.reclaimable ?? 0)) : 0;
    let shortfall = Math.max(0, fallback - (servingReclaimable - atRisk));
    const counts = new Map<string, DomainCounts>();
    for (const domain of sortByPrice(domains, scaling)) {
        const targetReclaimable = reclaimable.get(domain) ?? 0;
        // The domain's limit covers both types; reclaimable endpoints that are not serving yet don't count against it.
        const available = Math.max(0, scaling.maximum - (serving.get(domain)?.reclaimable ?? 0));
        const minimum = targetReclaimable === 0 ? scaling.minimum : 0;
        const onDemand = Math.min(
            available,
            Math.max(minimum, Math.ceil(shortfall / domains.length), countRetained(domain, shortfall, input)),
        );
        shortfall = Math.max(0, shortfall - onDemand);
        counts.set(domain, {
            reclaimable: Math.min(targetReclaimable, scaling.maximum - Math.min(onDemand, scaling.maximum - 1)),
            onDemand,
        });
    }
    return counts;
}

/** Running on-demand endpoints that cover the shortfall; they are retained because new ones would take time to start. */
function countRetained(domain: string, shortfall: number, { serving }: EndpointPlanInput): number {
    return Math.min(shortfall, serving.get(domain)?.onDemand ?? 0);
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

/** The placement for as many of the required endpoints as the limits allow. */
function findPlacement(offers: readonly HostOffer[], required: number): Placement | undefined {
    for (let engines = required; engines > 0; engines -= 1) {
        const placement = planPlacement(offers, { requiredEngines: engines });
        if (placement.ok) {
            return placement.value;
        }
    }
    // A single failure domain can't tolerate its own loss; fill it up to its limit.
    const placement = planPlacement(offers, { requiredEngines: Math.max(1, required), ignoreFailureDomains: true });
    return placement.ok ? placement.value : undefined;
}

function sortByPrice(domains: readonly string[], scaling: Scaling): readonly string[] {
    return [...domains].sort((left, right) => (scaling.domainPrices[left] ?? 1) - (scaling.domainPrices[right] ?? 1));
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
