export * from "./answerPacer";
export * from "./followClient";
export * from "./messageHeaders";
export * from "./offerListener";
export * from "./peerClient";
