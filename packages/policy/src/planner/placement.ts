import type { Issue, Outcome } from "@filbertrelay/kernel";
import { failure, success } from "@filbertrelay/kernel";

/** A host class in a failure domain with one purchase type. */
export interface HostOffer {
    readonly failureDomain: string;
    readonly hostClass: string;
    readonly purchase: "reclaimable" | "onDemand";
    /** Price of one host per hour, in thousandths of a cent. */
    readonly price: number;
    /** Number of engines on one host. */
    readonly enginesPerHost: number;
    /** Maximum number of hosts; unlimited by default. */
    readonly maximumHosts?: number;
}

/** Number of hosts placed with one offer. */
export interface PlacedHosts {
    readonly offer: HostOffer;
    readonly hosts: number;
}

/** A placement with its price per hour and the engines that remain after the worst loss. */
export interface Placement {
    readonly placed: readonly PlacedHosts[];
    readonly price: number;
    readonly engines: number;
    /** Engines that remain when the failure domain with the most reclaimable engines loses them. */
    readonly enginesAfterLoss: number;
}

/** Why no placement was found. */
export interface PlacementIssue extends Issue {
    readonly code: "planner.notEnoughOffers";
}

/** Options of `planPlacement`. */
export interface PlacementOptions {
    /** Engines needed to meet the latency target at peak load. */
    readonly requiredEngines: number;
    /** Offers excluded because their starts are being refused, named by `nameOffer`. */
    readonly excludedOffers?: ReadonlySet<string>;
    /** Ignores the loss of failure domains; false by default. */
    readonly ignoreFailureDomains?: boolean;
}

/** Returns a unique name of an offer. */
export function nameOffer(offer: HostOffer): string {
    return `${offer.failureDomain}/${offer.hostClass}/${offer.purchase}`;
}

/**
 * Finds the cheapest placement that keeps the required engines after the loss of all reclaimable hosts of any one failure
 * domain. With T engines in total, each domain may hold at most T minus the required engines as reclaimable ones, so each T is
 * tried and filled with the cheapest offers under that limit.
 */
export function planPlacement(offers: readonly HostOffer[], options: PlacementOptions): Outcome<Placement, PlacementIssue> {
    const usable = offers.filter(offer => offer.enginesPerHost > 0 && options.excludedOffers?.has(nameOffer(offer)) !== true);
    const ordered = [...usable].sort((left, right) => left.price / left.enginesPerHost - right.price / right.enginesPerHost);
    const largestHost = Math.max(0, ...usable.map(offer => offer.enginesPerHost));
    const limit = options.requiredEngines * 2 + largestHost;
    let best: Placement | undefined;
    for (let total = options.requiredEngines; total <= limit; total += 1) {
        const spare = options.ignoreFailureDomains === true ? Infinity : total - options.requiredEngines;
        const placement = fillOffers(ordered, total, spare);
        const isSafe = options.ignoreFailureDomains === true || (placement?.enginesAfterLoss ?? 0) >= options.requiredEngines;
        if (placement !== undefined && isSafe && (best === undefined || placement.price < best.price)) {
            best = placement;
        }
    }
    if (best === undefined) {
        const message = `The offers can't provide ${options.requiredEngines} engines after the loss of a failure domain.`;
        return failure({ code: "planner.notEnoughOffers", message });
    }
    return success(best);
}

/** Places hosts from the cheapest offers until the total is reached, with at most `spare` reclaimable engines per failure domain. */
function fillOffers(ordered: readonly HostOffer[], total: number, spare: number): Placement | undefined {
    const reclaimable = new Map<string, number>();
    const placed: PlacedHosts[] = [];
    let engines = 0;
    for (const offer of ordered) {
        const used = reclaimable.get(offer.failureDomain) ?? 0;
        const allowed = offer.purchase === "reclaimable" ? Math.floor((spare - used) / offer.enginesPerHost) : Infinity;
        const needed = Math.ceil((total - engines) / offer.enginesPerHost);
        const hosts = Math.max(0, Math.min(needed, allowed, offer.maximumHosts ?? Infinity));
        if (hosts > 0) {
            placed.push({ offer, hosts });
            engines += hosts * offer.enginesPerHost;
        }
        if (offer.purchase === "reclaimable") {
            reclaimable.set(offer.failureDomain, used + hosts * offer.enginesPerHost);
        }
    }
    const price = placed.reduce((sum, entry) => sum + entry.hosts * entry.offer.price, 0);
    const largestLoss = Math.max(0, ...reclaimable.values());
    return engines < total ? undefined : { placed, price, engines, enginesAfterLoss: engines - largestLoss };
}
