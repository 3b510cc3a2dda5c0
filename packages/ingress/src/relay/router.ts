import type { Clock, FailureDomainId, HostId } from "@filbertrelay/kernel";
import { chooseRelay } from "@filbertrelay/policy/ingress";
import type { EndpointReach } from "@filbertrelay/policy/ingress";
import type { EndpointRecord } from "../contract.js";
import type { ConnectionPool } from "../endpoint/connectionpool.js";
import type { HostRecord } from "../fleet/hosts.js";
import type { EndpointLinks } from "./links.js";

/** How one attempt goes to an endpoint. */
export type AttemptWay =
    | { readonly type: "direct"; }
    | { readonly type: "relay"; readonly relay: HostId; };

/** What is asked for when a way is chosen. */
export interface RoutedRequest {
    readonly requestId: string;
    /** Longest idle time of a connection that is reused, in milliseconds. */
    readonly maximumIdleMs: number;
    /** Whether the request was sent to the endpoint this way before, in vain. */
    readonly wasTried: (way: AttemptWay) => boolean;
}

/** Options of `LinkRouter`. */
export interface LinkRouterOptions {
    readonly clock: Clock;
    readonly homeDomain: FailureDomainId;
    readonly reach: Pick<EndpointReach, "wayTo" | "strandedHosts">;
    readonly connections: Pick<ConnectionPool, "hasIdle">;
    readonly links: Pick<EndpointLinks, "inProgress" | "pauseMs">;
    /** Other hosts that this one can reach. */
    readonly listPeers: () => readonly Pick<HostRecord, "hostId" | "failureDomain">[];
}

/** Chooses the ways of requests to endpoints: this host's own connections, or another host while those are cut. */
export class LinkRouter {
    readonly #options: LinkRouterOptions;

    constructor(options: LinkRouterOptions) {
        this.#options = options;
    }

    /** The way to an endpoint; `undefined` if there is none now. */
    find(endpoint: EndpointRecord, request: RoutedRequest): AttemptWay | undefined {
        const { clock, reach, connections } = this.#options;
        const way = reach.wayTo(endpoint, clock.monotonicMs());
        const isDirect = way === "direct" || (way === "open" && connections.hasIdle(endpoint, request.maximumIdleMs));
        if (isDirect && !request.wasTried({ type: "direct" })) {
            return { type: "direct" };
        }
        return way === "direct" ? undefined : this.#findRelay(endpoint, request);
    }

    #findRelay(endpoint: EndpointRecord, { requestId, wasTried }: RoutedRequest): AttemptWay | undefined {
        const { clock, homeDomain, reach, links, listPeers } = this.#options;
        const nowMs = clock.monotonicMs();
        const stranded = reach.strandedHosts(nowMs);
        const candidates = listPeers().filter(({ hostId }) => !wasTried({ type: "relay", relay: hostId })).map((
            { hostId, failureDomain },
        ) => ({
            hostId,
            failureDomain,
            isStranded: stranded.has(hostId),
            pausedUntilMs: nowMs + links.pauseMs(hostId),
            load: links.inProgress(hostId),
        }));
        const chosen = chooseRelay(candidates, { requestId, homeDomain, endpointDomain: endpoint.failureDomain, nowMs });
        return chosen === undefined ? undefined : { type: "relay", relay: chosen.hostId };
    }
}
