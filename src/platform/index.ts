export * from "./KeyValueService.js";
export * from "./HostList.js";
export { createHttpKeyValueService } from "./HttpKeyValueService.js";
export { createHttpHostList } from "./HttpHostList.js";
export { swapSurely } from "./swapSurely.js";
export * from "./RollingLease.js";
export * from "./PrefixWatcher.js";
