/**
 * Replication of the platform store's state between nodes.
 */
export * from "./objectTable";
export * from "./sourceSelection";
