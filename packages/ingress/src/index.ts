/** The HTTP ingress: accepts callers' requests and forwards them to endpoints. */
export * from "./contract.js";
export type { ControlResponse, ControlRoutes } from "./control/server.js";
export * from "./daemon.js";
export { Lead } from "./duty/lead.js";
export { UsageDuty } from "./duty/usageduty.js";
export { HostDirectory } from "./fleet/directory.js";
export { PeerExchange } from "./fleet/exchange.js";
export { HostTable } from "./fleet/hosts.js";
export { ServingHosts } from "./fleet/servinghosts.js";
export { StoreNews } from "./fleet/storenews.js";
export { IngressLifecycle, lifecycleEvents as ingressLifecycleEvents } from "./lifecycle.js";
export { requestEvents } from "./request/event.js";
export * from "./settings.js";
export { EndpointTable } from "./state/endpoints.js";
export { stateEvents } from "./state/event.js";
export { StoreMirror } from "./state/mirror.js";
