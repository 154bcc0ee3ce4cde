export * from "./faults";
export * from "./keys";
export * from "./memoryStore";
export * from "./objects";
export * from "./types";
