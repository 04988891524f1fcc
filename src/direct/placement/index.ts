export * from "./PlacementReport.js";
export * from "./explainPlacement.js";
