/** Clients of the platform: key-value service, cloud API, host list and weight store. */
export * from "./budget.js";
export * from "./cloud.js";
export * from "./cloudclient.js";
export * from "./hostlist.js";
export * from "./hostlistclient.js";
export type { ClientOptions } from "./http.js";
export { JsonClient, parseResponse } from "./http.js";
export type { JsonCall, JsonResponse, NoResponseIssue } from "./http.js";
export * from "./keyvalue.js";
export * from "./keyvalueclient.js";
export * from "./store.js";
export * from "./weightstore.js";
export * from "./weightstoreclient.js";
