export * from "./limits";
export * from "./membership";
export * from "./messages";
export * from "./precedence";
export * from "./types";
export { HostVersions } from "./hosts";
export type { Identity } from "./localEntry";
export type { MembershipOptions } from "./parts";
export type { LocatedTarget } from "./queries";
