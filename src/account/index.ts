export * from "./Summary.js";
export * from "./Account.js";
export * from "./explain.js";
export * from "./SummaryWriter.js";
