/** Engine model, traces, replay and experiments under a virtual clock. */
export * from "./engine/answer.js";
export * from "./engine/engine.js";
export type { EngineCacheEvent, EngineLoadReport } from "./engine/history.js";
export * from "./trace/content.js";
export * from "./trace/generator.js";
export * from "./trace/trace.js";
export * from "./trace/workload.js";
