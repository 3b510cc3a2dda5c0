/** Drivers of model engines and plain services. */
export * from "./engine.js";
export * from "./enginedriver.js";
export { EngineStreamReader } from "./enginestream.js";
export * from "./service.js";
export * from "./servicedriver.js";
