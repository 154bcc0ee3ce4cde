/**
 * Retries, hedges and their budgets.
 */
export * from "./budget";
export * from "./latencies";
export * from "./retries";
export * from "./types";
