/**
 * Snapshots of the configuration, their digests and the deltas between them.
 */
export * from "./types";
export { applyDelta, encodeDelta } from "./deltas";
export { createSnapshot, type SnapshotFields, verifySnapshot } from "./snapshots";
