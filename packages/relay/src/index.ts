/** The services of the daemon. */
export * from "./contract.js";
export { createMembershipService } from "./membership/service.js";
export type { GossipMembership } from "./membership/service.js";
export * from "./shards/index.js";
