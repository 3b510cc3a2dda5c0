/** The shard state machine for non-idempotent requests. */
export { toSubmitResult } from "./entry.js";
export * from "./machine.js";
export * from "./message.js";
export * from "./placement.js";
export * from "./state.js";
export * from "./value.js";
