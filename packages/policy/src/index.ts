/** All decisions as pure functions and state machines. */
export * from "./admission/admission.js";
export * from "./admission/retry.js";
export * from "./admission/share.js";
export * from "./planner/backoff.js";
export * from "./planner/loading.js";
export * from "./planner/placement.js";
export * from "./rendezvous.js";
export * from "./routing/block.js";
export * from "./routing/choice.js";
export * from "./routing/load.js";
export * from "./routing/prefix.js";
export * from "./routing/subset.js";
export * from "./shards/index.js";
export * from "./streams/reclaim.js";
export * from "./streams/recovery.js";
export * from "./suspects/tracker.js";
