/** Drivers of model engines and plain services. */
export * from "./engine.js";
export * from "./service.js";
