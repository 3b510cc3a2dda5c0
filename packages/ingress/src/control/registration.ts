import type { Clock, Kernel } from "@filbertrelay/kernel";
import type { ConnectionShares } from "@filbertrelay/policy/ingress";
import type { ConnectionLimit } from "../caller/connectionguard.js";
import type { CallerLimits } from "../caller/limits.js";
import type { Environment } from "../environment.js";
import type { IngressSettings } from "../settings.js";
import type { HostView } from "./hostview.js";
import { ControlServer } from "./server.js";
import type { ControlRoutes } from "./server.js";

/** Registers the HTTP servers of a host that are not for callers' requests, as far as the settings name their addresses. */
export function registerControl(
    kernel: Kernel,
    clock: Clock,
    settings: IngressSettings,
    environment: Pick<Environment, "createDirectoryRoutes" | "createReadyRoutes">,
    view: HostView,
    { connections, requestsAhead, report }: CallerLimits,
): void {
    const { directoryAddress, readyAddress, metricsAddress } = settings.host;
    const serve = (name: keyof ConnectionShares, address: string | undefined, routes: ControlRoutes): void => {
        if (address !== undefined) {
            const onLimit = (limit: ConnectionLimit): void => report(limit === "connections" ? "connectionEvicted" : limit);
            kernel.register(
                name,
                new ControlServer({ clock, address, routes, connections: connections[name], requestsAhead, onLimit }),
            );
        }
    };
    serve("directory", directoryAddress, environment.createDirectoryRoutes(view));
    serve("metrics", metricsAddress, createMetricsRoutes(view));
    serve("readiness", readyAddress, environment.createReadyRoutes(view));
}

function createMetricsRoutes(view: HostView): ControlRoutes {
    return {
        "/metrics": async () => {
            view.metrics.setReachableHosts(view.reachableHosts());
            view.metrics.setServingHosts(view.servingHosts());
            return { status: 200, contentType: "text/plain", body: await view.metrics.render() };
        },
    };
}
