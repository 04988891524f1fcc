export * from "./EndpointFact.js";
export * from "./EndpointTable.js";
export * from "./PeerDirectory.js";
export * from "./PeerExchange.js";
