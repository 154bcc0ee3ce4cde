/**
 * Graceful shutdown of a node.
 */
export * from "./draining";
export * from "./types";
