export * from "./baseline";
export * from "./load";
export * from "./report";
