export * from "./PeerGossip.js";
