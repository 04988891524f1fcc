export * from "./PeerNews.js";
