/**
 * The operator client as a library. Commands return their outcome as a value.
 */
export * from "./applying";
export * from "./commandLine";
export * from "./conflicts";
export * from "./explaining";
export * from "./history";
export * from "./nodeClient";
export * from "./records";
export * from "./requestHistory";
export * from "./results";
export * from "./settings";
export * from "./statusView";
export * from "./undoing";
export * from "./transportClient";
export * from "./waiting";
