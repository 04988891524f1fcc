export * from "./trpc.js";
export * from "./ControlServer.js";
export * from "./ControlClient.js";
export * from "./openControlPort.js";
