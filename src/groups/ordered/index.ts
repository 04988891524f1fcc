export * from "./RankLink.js";
export * from "./RankReport.js";
export { startRankAgent } from "./startRankAgent.js";
export type { RankAgentPlatform, RankAgentSettings } from "./startRankAgent.js";
