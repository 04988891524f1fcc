export * from "./ColdEndpoints.js";
export * from "./ColdMarks.js";
export * from "./ColdSends.js";
export * from "./ColdSource.js";
export * from "./coldRule.js";
