export * from "./frames";
export * from "./messages";
export * from "./targetEntry";
export * from "./targetLoad";
