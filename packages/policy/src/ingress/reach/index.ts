export type { ReachedEndpoint } from "./endpointlink.js";
export * from "./endpointreach.js";
export type { ReachReport } from "./reachreport.js";
export * from "./relaychoice.js";
