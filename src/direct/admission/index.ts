export * from "./AdmissionDecision.js";
export type * from "./AdmissionStep.js";
export * from "./CostAdmission.js";
export * from "./isBlockedForNow.js";
