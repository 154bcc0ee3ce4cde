/**
 * Limits on the calls of an organisation over all nodes.
 */
export * from "./accountingNode";
export * from "./nodeContacts";
export * from "./quotaAllowances";
export * from "./quotaBound";
export * from "./quotaLedger";
export * from "./quotaNode";
