/**
 * Quarantine of requests that crash their targets.
 */
export * from "./fingerprint";
export * from "./quarantine";
export * from "./types";
