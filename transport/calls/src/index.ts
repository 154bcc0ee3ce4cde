export * from "./addresses";
export * from "./bodies";
export * from "./listener";
export * from "./probe";
export * from "./streaming";
export * from "./targetClient";
