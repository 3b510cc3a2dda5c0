/** Questionnaire answers and the configuration generated from them. */
export * from "./configuration.js";
