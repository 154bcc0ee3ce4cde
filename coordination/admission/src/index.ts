export * from "./admission";
export * from "./dispatcher";
export * from "./types";
