import type { IngressRoute } from "@filbertrelay/configuration";

/** Finds the route of a request. */
export interface RouteTable {
    /** The route of the host name with the longest matching path prefix; `undefined` without a match. */
    find(hostname: string, path: string): IngressRoute | undefined;
}

/** Creates a table whose lookup time is linear in the path's segments and independent of the number of routes. */
export function createRouteTable(routes: readonly IngressRoute[]): RouteTable {
    const byHostname = new Map<string, Map<string, IngressRoute>>();
    for (const route of routes) {
        const hostname = normalizeHostname(route.hostname);
        const prefixes = byHostname.get(hostname) ?? new Map<string, IngressRoute>();
        byHostname.set(hostname, prefixes.set(route.pathPrefix, route));
    }
    return {
        find: (hostname, path) => {
            const prefixes = byHostname.get(normalizeHostname(hostname));
            const queryStart = path.search(/[?#]/);
            let end = (queryStart === -1 ? path : path.slice(0, queryStart)).lastIndexOf("/");
            while (prefixes !== undefined && end >= 0) {
                const route = prefixes.get(path.slice(0, end + 1));
                if (route !== undefined) {
                    return route;
                }
                end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
            }
            return undefined;
        },
    };
}

/** Chooses one of a route's services in proportion to the weights; `draw` is uniform in [0, 1). */
export function chooseService(route: IngressRoute, draw: number): string | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = draw * total;
    for (const target of route.targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return route.targets.at(-1)?.service;
}

function normalizeHostname(hostname: string): string {
    return hostname.replace(/:\d+$/, "").toLowerCase();
}
