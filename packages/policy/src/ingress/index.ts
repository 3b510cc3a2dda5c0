/**
 * Decisions of the ingress: routes, limits, placing and refusing. An entry point of its own, so that the ingress loads neither the
 * decisions of other programs nor their WebAssembly.
 */
export * from "../planner/backoff.js";
export { rankByRendezvous } from "../rendezvous.js";
export * from "./demandmeter.js";
export * from "./directorychoice.js";
export * from "./endpointhealth.js";
export * from "./endpointplan.js";
export * from "./enginechoice.js";
export * from "./exchangegroups.js";
export * from "./fleetclock.js";
export * from "./loadboard.js";
export * from "./promptcache.js";
export * from "./receivedreports.js";
export * from "./repeatbudget.js";
export * from "./requiredendpoints.js";
export * from "./routetable.js";
export * from "./servicetimings.js";
export * from "./servingset.js";
export * from "./silence.js";
export * from "./slidingwindow.js";
export * from "./startadmission.js";
export * from "./usageledger.js";
export * from "./usagequota.js";
