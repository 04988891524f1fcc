export * from "./CallerLimits.js";
export * from "./CallerMemory.js";
export * from "./LimitReport.js";
export * from "./MemoryAccount.js";
export * from "./WorkPacer.js";
export * from "./countTakenBytes.js";
export * from "./createPlainServer.js";
export * from "./readCallerBody.js";
