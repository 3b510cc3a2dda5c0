/** Stand-ins for the platform and the endpoints. */
export { answerText, answerToken, hashBlocks, renderPrompt } from "./answer.js";
export type { PromptMessage } from "./answer.js";
export { ProxyRoute } from "./proxyroute.js";
export type { RouteFaults } from "./proxyroute.js";
