export * from "./router";
export * from "./subsetting";
export * from "./types";
