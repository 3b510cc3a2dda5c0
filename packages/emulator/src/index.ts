/** Engine model, traces, replay and experiments under a virtual clock. */
export * from "./engine/answer.js";
export * from "./engine/engine.js";
export type { EngineCacheEvent, EngineLoadReport } from "./engine/history.js";
export * from "./experiment/admission.js";
export * from "./experiment/planner.js";
export * from "./experiment/routing.js";
export * from "./experiment/streams.js";
export * from "./experiment/suspects.js";
export * from "./random.js";
export * from "./replay/replay.js";
export * from "./replay/request.js";
export * from "./replay/router.js";
export * from "./trace/content.js";
export * from "./trace/generator.js";
export * from "./trace/trace.js";
export * from "./trace/workload.js";
