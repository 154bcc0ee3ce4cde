/**
 * Idempotency-key claims for calls that must not run more than once.
 */
export * from "./claimCoordinator";
export * from "./keys";
export * from "./response";
export * from "./shard";
export * from "./types";
