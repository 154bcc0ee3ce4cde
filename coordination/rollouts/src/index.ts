/**
 * Steps of a rollout, the evidence for them, and the judgement of a new version.
 */
export * from "./evidenceHistory";
export * from "./judgement";
export * from "./order";
export * from "./steps";
export * from "./versionEvidence";
