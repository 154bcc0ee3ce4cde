export * from "./addresses";
export * from "./bodies";
export * from "./listener";
export * from "./targetClient";
