/**
 * Ingress policies: routing, limits, placement and admission. A separate entry point, so that the ingress does not load the
 * policies of other programs or their WebAssembly.
 */
export * from "../planner/backoff.js";
export { rankByRendezvous, rendezvousScore } from "../rendezvous.js";
export { contentTrait, createCrashId, partTrait } from "../suspects/crash.js";
export type { EndpointCrash, InterruptedRequest, RequestTrait, RequestTraits } from "../suspects/crash.js";
export * from "../suspects/quarantine.js";
export * from "./answermemory.js";
export * from "./connectiontable.js";
export * from "./demandmeter.js";
export * from "./directorychoice.js";
export * from "./dutyterm.js";
export * from "./endpointhealth.js";
export * from "./endpointlimits.js";
export * from "./endpointnotices.js";
export * from "./endpointpace.js";
export * from "./endpointplan.js";
export * from "./endpointruns.js";
export * from "./enginechoice.js";
export * from "./exchangegroups.js";
export * from "./fleetclock.js";
export * from "./hostlimits.js";
export * from "./hostpressure.js";
export * from "./loadtracker.js";
export * from "./memorybudget.js";
export * from "./messagetimes.js";
export * from "./ownedvalues.js";
export * from "./pressureadmission.js";
export * from "./promptcache.js";
export * from "./receivedreports.js";
export * from "./requiredendpoints.js";
export * from "./retrybudget.js";
export * from "./rollout/index.js";
export * from "./routetable.js";
export * from "./servicetimings.js";
export * from "./servingset.js";
export * from "./silence.js";
export * from "./slidingwindow.js";
export * from "./startadmission.js";
export * from "./stopadmission.js";
export * from "./storecopy.js";
export * from "./streamorigins.js";
export * from "./turntimes.js";
export * from "./usageledger.js";
export * from "./usagequota.js";
export * from "./usagewindows.js";
export * from "./versionhistory.js";
