export { Outcome } from "./Outcome.js";
export { Cause } from "./Cause.js";
export * from "./Refusal.js";
export * from "./headers.js";
export * from "./attemptId.js";
export { findHeadFault, findHeaderFault } from "./findHeadFault.js";
