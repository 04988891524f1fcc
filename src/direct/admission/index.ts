export * from "./AdmissionDecision.js";
export * from "./CostAdmission.js";
