export * from "./metrics";
export * from "./ports";
export * from "./settings";
export * from "./sidecar";
export * from "./tasks/quotaTask";
