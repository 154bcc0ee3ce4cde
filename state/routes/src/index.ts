export * from "./check";
export * from "./patch";
export * from "./routeTable";
export * from "./types";
