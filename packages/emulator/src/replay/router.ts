import type { EndpointId, FailureDomainId } from "@filbertrelay/kernel";
import { chooseEndpoint, createLoadTable, createPrefixIndex, describeCandidates } from "@filbertrelay/policy";
import type { LoadTable, LoadTableOptions, PrefixIndex, RoutingEndpoint, RoutingOptions } from "@filbertrelay/policy";
import type { Random } from "../random.js";
import type { FleetObserver } from "./fleet.js";
import type { ReplayRequest } from "./request.js";

/** What a router must leave out for one attempt. */
export interface RouterLimits {
    readonly excluded: ReadonlySet<EndpointId>;
    readonly avoidedFailureDomains: ReadonlySet<FailureDomainId>;
}

/** Chooses endpoints at one entry host, with that host's own knowledge. */
export interface Router extends FleetObserver {
    /** The chosen endpoint; `undefined` when all are excluded. */
    choose(request: ReplayRequest, now: Date, limits: RouterLimits): EndpointId | undefined;
    recordFirstToken(endpointId: EndpointId, request: ReplayRequest, now: Date): void;
    recordFinish(endpointId: EndpointId, request: ReplayRequest, now: Date): void;
    forget(endpointId: EndpointId): void;
}

/** Creates the router of one entry host. */
export type RouterFactory = (endpoints: readonly RoutingEndpoint[], random: Random) => Router;

const noLimits: RouterLimits = { excluded: new Set(), avoidedFailureDomains: new Set() };

/** Routes by the policy of this package: prefix index, load table and scores. */
export function createPolicyRouter(options: RoutingOptions & { readonly dispatchWeight?: number; }): RouterFactory {
    return endpoints => new PolicyRouter(endpoints, options);
}

class PolicyRouter implements Router {
    readonly #endpoints: readonly RoutingEndpoint[];
    readonly #options: RoutingOptions;
    readonly #index: PrefixIndex = createPrefixIndex();
    readonly #loads: LoadTable;

    constructor(endpoints: readonly RoutingEndpoint[], options: RoutingOptions & LoadTableOptions) {
        this.#loads = createLoadTable(options);
        this.#endpoints = endpoints;
        this.#options = options;
    }

    choose(request: ReplayRequest, now: Date, limits: RouterLimits = noLimits): EndpointId | undefined {
        const candidates = describeCandidates(this.#endpoints, request.prompt, this.#index, this.#loads, now);
        const choice = chooseEndpoint(request.prompt, candidates, { ...this.#options, ...limits });
        if (!choice.ok) {
            return undefined;
        }
        const { endpointId, tokensToCompute } = choice.value;
        this.#index.recordDispatch(endpointId, request.prompt.blocks);
        this.#loads.recordDispatch(endpointId, request.id, tokensToCompute, now);
        return endpointId;
    }

    recordFirstToken(endpointId: EndpointId, request: ReplayRequest, now: Date): void {
        this.#loads.recordFirstToken(endpointId, request.id, now);
    }

    recordFinish(endpointId: EndpointId, request: ReplayRequest, now: Date): void {
        this.#loads.recordFinish(endpointId, request.id, now);
    }

    recordReport(...args: Parameters<FleetObserver["recordReport"]>): void {
        this.#loads.recordReport(...args);
    }

    applyCacheEvents(...args: Parameters<FleetObserver["applyCacheEvents"]>): void {
        this.#index.applyCacheEvents(...args);
    }

    forget(endpointId: EndpointId): void {
        this.#index.forget(endpointId);
        this.#loads.forget(endpointId);
    }
}

/** Takes endpoints in turn, each host starting at another one. */
export function createRoundRobinRouter(): RouterFactory {
    return (endpoints, random) => {
        let next = random.integer(0, endpoints.length - 1);
        return {
            ...ignoreReports,
            choose: (...[, , { excluded }]) => {
                const allowed = endpoints.filter(({ endpointId }) => !excluded.has(endpointId));
                next += 1;
                return allowed[next % allowed.length]?.endpointId;
            },
        };
    };
}

/**
 * Takes the endpoint with the fewest requests in its last report, and among equal ones any; with `countOwn` the host
 * adds what it sent since.
 */
export function createLeastLoadRouter({ countOwn }: { readonly countOwn: boolean; }): RouterFactory {
    return (endpoints, random) => {
        const loads = createLoadTable();
        return {
            ...ignoreReports,
            recordReport: (endpointId, report) => loads.recordReport(endpointId, report),
            recordFinish: (endpointId, request, now) => loads.recordFinish(endpointId, request.id, now),
            choose: (request, now, { excluded }) => {
                const allowed = endpoints.filter(({ endpointId }) => !excluded.has(endpointId));
                const counted = allowed.map(({ endpointId }) => ({ endpointId, ...loads.estimate(endpointId, now) }));
                const least = Math.min(...counted.map(({ requests }) => requests));
                const best = counted.filter(({ requests }) => requests === least);
                const chosen = best.length === 0 ? undefined : random.pick(best).endpointId;
                if (countOwn && chosen !== undefined) {
                    loads.recordDispatch(chosen, request.id, request.prompt.promptTokens, now);
                }
                return chosen;
            },
        };
    };
}

const ignoreReports: Omit<Router, "choose"> = {
    recordReport: () => undefined,
    applyCacheEvents: () => undefined,
    recordFirstToken: () => undefined,
    recordFinish: () => undefined,
    forget: () => undefined,
};
