export * from "./DirectPlatform.js";
export * from "./createDirectContext.js";
