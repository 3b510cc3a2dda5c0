export * from "./exposure.js";
export * from "./hostrollout.js";
export * from "./rolloutorder.js";
export * from "./rolloutplan.js";
export * from "./rolloutstep.js";
export * from "./routetally.js";
export * from "./versioncomparison.js";
