export * from "./PeerGossip.js";
export * from "./evacuationReport.js";
export * from "./RouterMembers.js";
