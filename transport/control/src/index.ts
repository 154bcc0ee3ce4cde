export * from "./client";
export * from "./listener";
export * from "./nodeFetch";
