export * from "./arrivals";
export * from "./profile";
export * from "./results";
export * from "./runLoad";
