export * from "./callHistograms";
export * from "./latencyHistogram";
