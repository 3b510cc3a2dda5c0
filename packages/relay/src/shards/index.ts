/** Shards of non-idempotent requests as a service of the daemon. */
export { shardEvents } from "./event.js";
export { createShardService } from "./service.js";
export type { ShardServiceOptions } from "./service.js";
