/**
 * Passing the state of the platform's store on between nodes.
 */
export * from "./objectTable";
export * from "./sourceSelection";
