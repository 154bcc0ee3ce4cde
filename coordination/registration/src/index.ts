/**
 * State of a node's local target, and the node's entry in the platform store.
 */
export * from "./localTarget";
export * from "./localEntry";
export * from "./types";
