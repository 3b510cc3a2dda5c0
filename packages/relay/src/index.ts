/** The services of the daemon. */
export * from "./contract.js";
export * from "./shards/index.js";
