export * from "./AdmissionDecision.js";
export * from "./CostAdmission.js";
export * from "./isBlockedForNow.js";
