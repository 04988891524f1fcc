export * from "./LogLine.js";
export * from "./explainLogs.js";
