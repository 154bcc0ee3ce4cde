/**
 * What a node believes of its own target, and its entry in the platform store.
 */
export * from "./ownTarget";
export * from "./ownEntry";
export * from "./types";
