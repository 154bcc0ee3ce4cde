export * from "./types";
