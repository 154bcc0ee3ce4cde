export * from "./collections";
export * from "./faults";
export * from "./keys";
export * from "./memoryCollection";
export * from "./memoryStore";
export * from "./objects";
export * from "./outcomes";
export * from "./types";
