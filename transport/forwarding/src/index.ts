export * from "./messageHeaders";
export * from "./peerClient";
