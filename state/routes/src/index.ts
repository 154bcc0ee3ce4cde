export * from "./check";
export * from "./organisations";
export * from "./patch";
export * from "./routeTable";
export * from "./types";
