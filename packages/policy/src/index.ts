/** All decisions as pure functions and state machines. */
export * from "./shards/index.js";
