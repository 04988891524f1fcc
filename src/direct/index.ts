export * from "./DirectCodec.js";
export * from "./DirectSettings.js";
export * from "./EndpointRecord.js";
export * from "./HeaderNames.js";
export * from "./RoutingDocument.js";
export * from "./startDirectRouter.js";
export type { DirectPlatform } from "./wiring/index.js";
