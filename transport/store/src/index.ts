export * from "./httpStore";
