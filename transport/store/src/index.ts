export * from "./exchange";
export * from "./httpStore";
