/**
 * Steps of a planned stop.
 */
export * from "./draining";
export * from "./types";
