/** The services of the daemon. */
export { applyDelta, createDelta } from "./configuration/delta.js";
export { configurationValueName, createConfigurationService } from "./configuration/service.js";
export * from "./contract.js";
export { createMembershipService } from "./membership/service.js";
export type { GossipMembership } from "./membership/service.js";
export * from "./shards/index.js";
