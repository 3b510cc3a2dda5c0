/** The HTTP ingress: accepts callers' requests and forwards them to endpoints. */
export * from "./contract.js";
export type { ControlResponse, ControlRoutes } from "./control/server.js";
export * from "./daemon.js";
export { DutyLease } from "./duty/lease.js";
export { UsageReporter } from "./duty/usagereporter.js";
export { HostDirectory } from "./fleet/directory.js";
export { PeerExchange } from "./fleet/exchange.js";
export { SharedFindings } from "./fleet/findings.js";
export { HostTable } from "./fleet/hosts.js";
export { ServingHosts } from "./fleet/servinghosts.js";
export { StoreSync } from "./fleet/storesync.js";
export { IngressLifecycle, lifecycleEvents as ingressLifecycleEvents } from "./lifecycle.js";
export { requestEvents } from "./request/event.js";
export * from "./settings.js";
export { EndpointTable } from "./state/endpoints.js";
export { stateEvents } from "./state/event.js";
export { StoreMirror } from "./state/mirror.js";
export { createOwnedPrefixes } from "./state/ownedprefixes.js";
