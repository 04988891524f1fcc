export * from "./CandidateRule.js";
export * from "./EndpointCandidates.js";
export * from "./ExclusionReason.js";
export * from "./RequestDemand.js";
export * from "./homeRule.js";
export * from "./noticeRules.js";
