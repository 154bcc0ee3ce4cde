/**
 * Checks that need the complete file: unique names and paths, dangling references and dependency cycles.
 */
import type { Word } from "./lines";
import type { LineOptions } from "./options";
import { type ProblemCollector, quote } from "./problems";
import { RuleKind, RuleProblemCode, type RouteRule, type RuleSet, type ServiceRule, type TenantRule } from "./types";

/** Declaration of a rule: the kind and name at the start of a line. */
export interface Declaration {
    readonly kind: RuleKind;
    readonly name: string;
    readonly line: number;
    readonly column: number;
    readonly options: LineOptions;
}

interface Reference {
    readonly kind: RuleKind;
    readonly name: string;
    readonly column: number;
    readonly options: LineOptions;
}

interface ServiceNeeds {
    readonly names: readonly Word[];
    readonly options: LineOptions;
}

interface SearchFrame {
    readonly service: string;
    nextNeedIndex: number;
}

/** Maximum number of services of a cycle that a reason lists. */
const maxListedServices = 8;

/**
 * Collects the rules of a file. Lines with a problem still declare their name, so that references to them are not
 * reported as well.
 */
export class RuleSetBuilder {
    readonly tenants = new Map<string, TenantRule>();
    readonly services = new Map<string, ServiceRule>();
    readonly routes = new Map<string, RouteRule>();
    private readonly declaredLines = new Map<RuleKind, Map<string, number>>();
    private readonly pathLines = new Map<string, number>();
    private readonly needs = new Map<string, ServiceNeeds>();
    private readonly references: Reference[] = [];
    private readonly problems: ProblemCollector;

    constructor(problems: ProblemCollector) {
        this.problems = problems;
        for (const kind of Object.values(RuleKind)) {
            this.declaredLines.set(kind, new Map());
        }
    }

    /** Declares a rule. Reports a problem if its name is not unique within its kind. */
    declare(declaration: Declaration): void {
        const { kind, name, line, column, options } = declaration;
        const lines = this.declaredLines.get(kind);
        const earlierLine = lines?.get(name);
        if (earlierLine !== undefined) {
            options.report(
                RuleProblemCode.DuplicateName,
                column,
                `${kind} ${quote(name)} is already declared on line ${earlierLine}`,
                "Remove or rename one of them.",
            );
            return;
        }
        lines?.set(name, line);
    }

    /** Declares the path of a route. Reports a problem if another route has the same path. */
    declarePath(path: string, line: number, column: number, options: LineOptions): void {
        const earlierLine = this.pathLines.get(path);
        if (earlierLine !== undefined) {
            options.report(
                RuleProblemCode.DuplicatePath,
                column,
                `path ${quote(path)} is already routed on line ${earlierLine}`,
                "Remove one of the routes or change its path.",
            );
            return;
        }
        this.pathLines.set(path, line);
    }

    addReferences(kind: RuleKind, names: readonly Word[], options: LineOptions): void {
        for (const { text, column } of names) {
            this.references.push({ kind, name: text, column, options });
        }
    }

    addNeeds(service: string, names: readonly Word[], options: LineOptions): void {
        if (!this.needs.has(service)) {
            this.needs.set(service, { names, options });
        }
    }

    /** Reports references to names that are not declared. */
    checkReferences(): void {
        for (const { kind, name, column, options } of this.references) {
            if (!this.declaredLines.get(kind)?.has(name)) {
                options.report(
                    RuleProblemCode.DanglingReference,
                    column,
                    `${kind} ${quote(name)} is not declared`,
                    `Add a line "${kind} ${name} ..." or correct the name.`,
                );
            }
        }
    }

    /** Reports each need that closes a cycle. */
    checkCycles(): void {
        const finished = new Set<string>();
        for (const service of this.needs.keys()) {
            if (!finished.has(service)) {
                this.searchCycles(service, finished);
            }
        }
    }

    /** Returns the rule set. Only valid for a file without problems. */
    build(): RuleSet {
        return { tenants: this.tenants, services: this.services, routes: this.routes };
    }

    /** Depth-first search. Uses an explicit stack because chains of needs may be very long. */
    private searchCycles(start: string, finished: Set<string>): void {
        const depths = new Map([[start, 0]]);
        const stack: SearchFrame[] = [{ service: start, nextNeedIndex: 0 }];
        for (let frame = stack.at(-1); frame !== undefined; frame = stack.at(-1)) {
            const needs = this.needs.get(frame.service);
            const need = needs?.names[frame.nextNeedIndex++];
            if (needs === undefined || need === undefined) {
                stack.pop();
                depths.delete(frame.service);
                finished.add(frame.service);
                continue;
            }
            const depth = depths.get(need.text);
            if (depth !== undefined) {
                reportCycle(stack, depth, need, needs.options);
            }
            else if (!finished.has(need.text)) {
                depths.set(need.text, stack.length);
                stack.push({ service: need.text, nextNeedIndex: 0 });
            }
        }
    }
}

function reportCycle(stack: readonly SearchFrame[], startDepth: number, need: Word, options: LineOptions): void {
    const listed = stack.slice(startDepth, startDepth + maxListedServices).map(frame => frame.service);
    const omitted = stack.length - startDepth > maxListedServices ? ["..."] : [];
    options.report(
        RuleProblemCode.Cycle,
        need.column,
        `needs form a cycle: ${[...listed, ...omitted, need.text].join(" -> ")}`,
        "Remove one of these needs.",
    );
}
