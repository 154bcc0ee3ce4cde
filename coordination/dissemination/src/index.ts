export * from "./dissemination";
export * from "./limits";
export * from "./messages";
export { StartBlocker } from "./versionFloor";
