export * from "./node";
export * from "./settings";
