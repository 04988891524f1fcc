export * from "./PeerGossip.js";
export * from "./evacuationReport.js";
