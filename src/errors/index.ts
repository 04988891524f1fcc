export { ErrorCode } from "./ErrorCode.js";
export { createError, hasErrorCode } from "./createError.js";
export type { ErrorStructure } from "./createError.js";
