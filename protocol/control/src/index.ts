export * from "./messages";
export * from "./router";
export * from "./schemas";
