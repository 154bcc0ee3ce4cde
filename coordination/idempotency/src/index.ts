/**
 * Claims of calls that may not be repeated.
 */
export * from "./keeper";
export * from "./keys";
export * from "./response";
export * from "./shard";
export * from "./types";
