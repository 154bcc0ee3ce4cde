/**
 * Forwarding of calls between two nodes: target selection, queueing at the target, and attempts.
 */
export * from "./callerAges";
export * from "./responseSizes";
export * from "./bufferBudget";
export * from "./callPlan";
export * from "./callPlanTypes";
export * from "./concurrencyLimit";
export * from "./fairShare";
export * from "./routeLatencyTable";
export * from "./innerCallRoom";
export * from "./peerRecord";
export * from "./requestLimit";
export * from "./responseTimes";
export * from "./retryBudgets";
export * from "./runTimes";
export * from "./slowdownCurve";
export * from "./targetDirectory";
export * from "./targetQueue";
export * from "./targetQueueTypes";
export * from "./versionSplit";
export * from "./weightedRoundRobin";
