/** The services of the daemon. */
export * from "./contract.js";
