/** Questionnaire answers and the configuration generated from them. */
export * from "./answers.js";
export * from "./configuration.js";
export * from "./difference.js";
export * from "./digest.js";
export * from "./generation.js";
export * from "./head.js";
export * from "./ingress.js";
export * from "./settings.js";
