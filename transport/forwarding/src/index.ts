export * from "./responsePacer";
export * from "./followClient";
export * from "./messageHeaders";
export * from "./offerListener";
export * from "./peerClient";
export type { FrameFaultHandler } from "./frameConnection";
