export * from "./OutageGate.js";
export * from "./outageMetrics.js";
