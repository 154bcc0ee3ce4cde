/**
 * Types of the rule set, of the problems of a rules file, and of comparison and attribution results.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Kinds of rules. The value is the first word of a rule line. */
export enum RuleKind {
    Tenant = "tenant",
    Service = "service",
    Route = "route",
}

/** Expected run time of the calls of a route, as declared in the rules. */
export enum RunTimeClass {
    Short = "short",
    Long = "long",
}

/** Source line of a rule, so that the effects of the rule can be attributed. */
export interface RuleOrigin {
    /** One-based line number in the rules file. */
    readonly line: number;
    /** The complete line without surrounding white space. */
    readonly text: string;
    /** Person who requested the rule. */
    readonly requester: string;
    /** Reason given in the comment, if any. */
    readonly reason: string | undefined;
}

/** A customer whose calls are counted and limited together. */
export interface TenantRule extends RuleOrigin {
    readonly kind: RuleKind.Tenant;
    readonly name: string;
    /** Relative share of capacity under overload, 1 to 100. */
    readonly weight: number;
    /** Calls per second on each node; unlimited if absent. */
    readonly ratePerSecond: number | undefined;
}

/** A named group of targets. */
export interface ServiceRule extends RuleOrigin {
    readonly kind: RuleKind.Service;
    readonly name: string;
    /** Calls that one endpoint runs concurrently. A value announced by the endpoint takes precedence. */
    readonly slots: number | undefined;
    /** Connections that one endpoint accepts. A value announced by the endpoint takes precedence. */
    readonly connections: number | undefined;
    /** Services that this service calls. */
    readonly needs: readonly string[];
}

/** Destination service and policy of the calls with a path prefix. */
export interface RouteRule extends RuleOrigin {
    readonly kind: RuleKind.Route;
    readonly name: string;
    /** Path prefix, matched on segment boundaries. */
    readonly path: string;
    /** Name of the destination service. */
    readonly to: string;
    readonly runTimeClass: RunTimeClass;
    readonly timeoutMs: Milliseconds;
    /** Whether a call may run more than once. */
    readonly repeatable: boolean;
    /** Further services that the route depends on. */
    readonly needs: readonly string[];
    /** Tenants that may use the route; all tenants if empty. */
    readonly tenants: readonly string[];
    /** Calls per second on each node; unlimited if absent. */
    readonly ratePerSecond: number | undefined;
    /** 1 to 9. Calls with priority 9 are shed last. */
    readonly priority: number;
}

export type Rule = TenantRule | ServiceRule | RouteRule;

/** All rules of one version. Immutable. */
export interface RuleSet {
    readonly tenants: ReadonlyMap<string, TenantRule>;
    readonly services: ReadonlyMap<string, ServiceRule>;
    readonly routes: ReadonlyMap<string, RouteRule>;
}

/** Stable codes of the problems for which a rules file is refused. */
export enum RuleProblemCode {
    MissingRequester = "ERR_RULES_MISSING_REQUESTER",
    UnknownKind = "ERR_RULES_UNKNOWN_KIND",
    UnknownOption = "ERR_RULES_UNKNOWN_OPTION",
    MissingOption = "ERR_RULES_MISSING_OPTION",
    BadValue = "ERR_RULES_BAD_VALUE",
    DuplicateName = "ERR_RULES_DUPLICATE_NAME",
    DuplicateOption = "ERR_RULES_DUPLICATE_OPTION",
    DuplicatePath = "ERR_RULES_DUPLICATE_PATH",
    DanglingReference = "ERR_RULES_DANGLING_REFERENCE",
    Cycle = "ERR_RULES_CYCLE",
    TooLarge = "ERR_RULES_TOO_LARGE",
    TooManyProblems = "ERR_RULES_TOO_MANY_PROBLEMS",
}

/** One problem for which a rules file is refused. */
export interface RuleProblem {
    readonly code: RuleProblemCode;
    readonly line: number;
    readonly column: number;
    readonly reason: string;
    readonly hint: string;
    /** Requester of the line, if it has one. */
    readonly requester: string | undefined;
}

export enum RuleParseKind {
    Accepted = "accepted",
    Refused = "refused",
}

/** Result of parsing a rules file. A file with problems yields no rules. */
export type RuleParse =
    | { readonly kind: RuleParseKind.Accepted; readonly rules: RuleSet }
    | { readonly kind: RuleParseKind.Refused; readonly problems: readonly RuleProblem[] };

export enum RuleChangeKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** One rule that differs between two rule sets. */
export interface RuleChange {
    readonly kind: RuleChangeKind;
    readonly ruleKind: RuleKind;
    readonly name: string;
    /** Line number of the rule after the change, or before the change if the rule was removed. */
    readonly line: number;
    /** Requester of that line. */
    readonly requester: string;
    readonly before: Rule | undefined;
    readonly after: Rule | undefined;
}

/** The fields of a version that attribution needs. Every snapshot has them. */
export interface RecordedVersion {
    readonly version: number;
    /** Version that this one replaced; 0 for the first version. */
    readonly parent: number;
    readonly text: string;
    readonly operator: string;
    readonly acceptedAt: Milliseconds;
}

/** The version that introduced one line of the newest version. */
export interface Attribution {
    /** One-based line number in the newest version. */
    readonly line: number;
    readonly text: string;
    readonly version: number;
    readonly operator: string;
    readonly acceptedAt: Milliseconds;
    /** `false` if the preceding version is missing in the history, so that the line may be older than `version`. */
    readonly exact: boolean;
}
