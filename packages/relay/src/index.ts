/** The services of the daemon. */
export { applyDelta, createDelta } from "./configuration/delta.js";
export { configurationValueName, createConfigurationService } from "./configuration/service.js";
export * from "./contract.js";
export { createDaemon } from "./daemon.js";
export type { DaemonOptions } from "./daemon.js";
export { createMembershipService } from "./membership/service.js";
export type { GossipMembership } from "./membership/service.js";
export { parseSettings } from "./settings.js";
export type { Settings } from "./settings.js";
export * from "./shards/index.js";
