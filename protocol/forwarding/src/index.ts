export * from "./headers";
export * from "./targetLoad";
export * from "./targetEntry";
