export * from "./check";
export * from "./routeTable";
export * from "./types";
