export * from "./PeerGossip.js";
export * from "./RouterMembers.js";
