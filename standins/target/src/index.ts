export { type Announcement, announceIntervalMs } from "./announcer";
export { requestIdHeader } from "./call";
export { crashHeader, type TargetFault, targetFaultSchema } from "./faults";
export { innerCallHeader } from "./innerCalls";
export type { TargetCounters } from "./runStatistics";
export * from "./program";
export * from "./settings";
export * from "./target";
