export * from "./addresses";
export * from "./bodies";
export * from "./discarding";
export * from "./listener";
export * from "./probe";
export * from "./streaming";
export * from "./targetClient";
export * from "./parserErrors";
