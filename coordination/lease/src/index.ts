export * from "./candidates";
export * from "./lease";
export * from "./messages";
export * from "./summary";
