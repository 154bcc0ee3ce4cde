export * from "./allowanceMessages";
export * from "./frames";
export { encodeLoss, encodeNodeReport, encodeOffer, encodeRefusal, encodeResponseHead } from "./compactMessages";
export * from "./messages";
export * from "./relayMessages";
export * from "./rolloutPlan";
export * from "./targetEntry";
export * from "./targetLoad";
export * from "./versionCounts";
