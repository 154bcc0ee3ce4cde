export * from "./commandLine";
export * from "./program";
export * from "./server";
