export * from "./RankPermit.js";
export * from "./Coordination.js";
export * from "./Placement.js";
export * from "./Rebalancer.js";
export * from "./RankGuard.js";
export * from "./GroupStore.js";
export * from "./GroupCoordinator.js";
