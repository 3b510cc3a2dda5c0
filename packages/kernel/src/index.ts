/** Service registry, mailboxes, clocks, outcomes, branded ids and log events. */
export * from "./address.js";
export * from "./clock.js";
export * from "./error.js";
export * from "./event.js";
export * from "./header.js";
export * from "./identifier.js";
export * from "./json.js";
export * from "./kernel.js";
export * from "./limitedlog.js";
export * from "./linewriter.js";
export * from "./logger.js";
export * from "./mailbox.js";
export * from "./outcome.js";
export * from "./repeated.js";
export type { TransferProgress } from "./transfer.js";
