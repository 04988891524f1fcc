export * from "./KeyValueService.js";
export * from "./StorePosition.js";
export * from "./HostList.js";
export { CallResult, createInstrumentedService as createCountedService } from "./InstrumentedService.js";
export { createHttpKeyValueService } from "./HttpKeyValueService.js";
export { createHttpHostList } from "./HttpHostList.js";
export { swapAndConfirm as swapSurely } from "./swapAndConfirm.js";
export * from "./RollingLease.js";
export * from "./PrefixWatcher.js";
