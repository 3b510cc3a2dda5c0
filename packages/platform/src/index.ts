/** Clients of the platform: key-value service, cloud API, host list and weight store. */
export * from "./cloud.js";
export * from "./hostlist.js";
export * from "./keyvalue.js";
