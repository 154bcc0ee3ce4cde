/**
 * Rules: grammar, parser, comparison, route lookup and attribution.
 */
export * from "./types";
export { attributeRules } from "./attribution";
export { compareRules } from "./comparison";
export { maxReportedProblems } from "./problems";
export { maxRulesBytes, parseRules } from "./parser";
export { findRoute } from "./routes";
