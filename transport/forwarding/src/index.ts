export * from "./responsePacer";
export * from "./followClient";
export * from "./messageHeaders";
export type { IncomingOffer, IncomingOfferObserver } from "./connectionOffer";
export * from "./offerListener";
export * from "./peerClient";
export type { FrameFaultHandler } from "./frameConnection";
