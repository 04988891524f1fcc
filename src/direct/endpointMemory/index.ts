export * from "./EndpointMemory.js";
export * from "./UsualSizes.js";
export * from "./memoryRules.js";
