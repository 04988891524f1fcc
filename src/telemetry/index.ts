export { EventId } from "./EventId.js";
export * from "./FailureStreak.js";
export * from "./logger.js";
export * from "./MetricSet.js";
export type { MetricsSource } from "./MetricsSource.js";
export * from "./metrics.js";
export * from "./startMetricsServer.js";
export * from "./tracing.js";
