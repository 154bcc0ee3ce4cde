export * from "./keys";
export * from "./types";
