export * from "./WorkQueue.js";
export * from "./EntitledQueue.js";
export * from "./RankShares.js";
export * from "./ServiceRate.js";
export * from "./TeamShares.js";
export * from "./EndpointChoice.js";
export * from "./RetryBudget.js";
