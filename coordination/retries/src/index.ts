/**
 * Retry and hedge decisions with their budgets.
 */
export * from "./budget";
export * from "./latencies";
export * from "./retries";
export * from "./types";
