export * from "./EnvironmentDocument.js";
export * from "./Finding.js";
export * from "./WorkRank.js";
export { MAX_DOCUMENT_BYTES, checkEnvironment } from "./checkEnvironment.js";
export * from "./settings.js";
export * from "./DocumentIndex.js";
export * from "./DocumentHolder.js";
export * from "./DocumentRepository.js";
