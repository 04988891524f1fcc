export * from "./EvacuationKnowledge.js";
export * from "./Evacuations.js";
export * from "./StoreEvacuations.js";
export * from "./createGuardedAdmission.js";
export * from "./createUsableEndpoints.js";
export * from "./evacuationRule.js";
