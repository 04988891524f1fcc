export * from "./KeyValueService.js";
export * from "./HostList.js";
export { CallResult, createCountedService } from "./CountedService.js";
export { createHttpKeyValueService } from "./HttpKeyValueService.js";
export { createHttpHostList } from "./HttpHostList.js";
export { swapSurely } from "./swapSurely.js";
export * from "./RollingLease.js";
export * from "./PrefixWatcher.js";
