/**
 * The rule set: what one version of the rules file says, after all its lines were checked together.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";

/** Kinds of rules; also the first word of their line. */
export enum RuleKind {
    Tenant = "tenant",
    Service = "service",
    Route = "route",
}

/** Declared run time class of a route. */
export enum RunTimeClass {
    Short = "short",
    Long = "long",
}

/** What every rule keeps of its line, so that its effects can be attributed. */
export interface RuleOrigin {
    /** Line number in the rules file, from 1. */
    readonly line: number;
    /** The whole line without surrounding white space. */
    readonly text: string;
    /** Who asked for the rule. */
    readonly requester: string;
    /** Why, if the comment says so. */
    readonly reason: string | undefined;
}

/** A customer whose calls are counted and limited together. */
export interface TenantRule extends RuleOrigin {
    readonly kind: RuleKind.Tenant;
    readonly name: string;
    /** Share between tenants under overload, 1 to 100. */
    readonly weight: number;
    /** Calls per second on each node; unlimited if absent. */
    readonly ratePerSecond: number | undefined;
}

/** A named group of targets. */
export interface ServiceRule extends RuleOrigin {
    readonly kind: RuleKind.Service;
    readonly name: string;
    /** Calls that one endpoint runs at once; the endpoint's announcement goes first. */
    readonly slots: number | undefined;
    /** Connections that one endpoint accepts; the endpoint's announcement goes first. */
    readonly connections: number | undefined;
    /** Services that this one calls. */
    readonly needs: readonly string[];
}

/** Which calls go to which service, and under which policy. */
export interface RouteRule extends RuleOrigin {
    readonly kind: RuleKind.Route;
    readonly name: string;
    /** Path prefix, matched on segment boundaries. */
    readonly path: string;
    /** Service that serves the route. */
    readonly to: string;
    readonly runTimeClass: RunTimeClass;
    readonly timeoutMs: Milliseconds;
    /** Whether a call may run more than once. */
    readonly repeatable: boolean;
    /** Further services that the route depends on. */
    readonly needs: readonly string[];
    /** Tenants that may use the route; everyone if empty. */
    readonly tenants: readonly string[];
    /** Calls per second on each node; unlimited if absent. */
    readonly ratePerSecond: number | undefined;
    /** 1 to 9; 9 is shed last. */
    readonly priority: number;
}

/** Any rule. */
export type Rule = TenantRule | ServiceRule | RouteRule;

/** All rules of one version. Never changes after it was parsed. */
export interface RuleSet {
    readonly tenants: ReadonlyMap<string, TenantRule>;
    readonly services: ReadonlyMap<string, ServiceRule>;
    readonly routes: ReadonlyMap<string, RouteRule>;
}

/** Stable codes of reasons why a rules file is refused. */
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

/** One reason why a rules file is refused. */
export interface RuleProblem {
    readonly code: RuleProblemCode;
    readonly line: number;
    readonly column: number;
    readonly reason: string;
    readonly hint: string;
    /** Requester of the offending line, if it names one. */
    readonly requester: string | undefined;
}

/** Kinds of `RuleParse`. */
export enum RuleParseKind {
    Accepted = "accepted",
    Refused = "refused",
}

/** Result of parsing a rules file: the whole set or nothing. */
export type RuleParse =
    | { readonly kind: RuleParseKind.Accepted; readonly rules: RuleSet }
    | { readonly kind: RuleParseKind.Refused; readonly problems: readonly RuleProblem[] };

/** Kinds of `RuleChange`. */
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
    /** Line of the rule after the change; for a removed rule, before it. */
    readonly line: number;
    /** Requester of that line. */
    readonly requester: string;
    readonly before: Rule | undefined;
    readonly after: Rule | undefined;
}

/** The part of a version's record that attribution reads. Every snapshot has this shape. */
export interface RecordedVersion {
    readonly version: number;
    /** Version that this one replaced; 0 for the first. */
    readonly parent: number;
    readonly text: string;
    readonly operator: string;
    readonly acceptedAt: Milliseconds;
}

/** The version that introduced one line of the newest version. */
export interface Attribution {
    /** Line number in the newest version, from 1. */
    readonly line: number;
    readonly text: string;
    readonly version: number;
    readonly operator: string;
    readonly acceptedAt: Milliseconds;
    /** `false` when the preceding version is not in the history: the line may be older than `version`. */
    readonly exact: boolean;
}
