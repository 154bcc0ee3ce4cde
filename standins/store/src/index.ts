export * from "./program";
export * from "./server";
