/**
 * Checks that need the whole file: unique names and paths, references and cycles.
 */
import type { Word } from "./lines";
import type { LineOptions } from "./options";
import { type ProblemCollector, quote } from "./problems";
import { RuleKind, RuleProblemCode, type RouteRule, type RuleSet, type ServiceRule, type TenantRule } from "./types";

/** The first word pair of a line. */
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

interface Needs {
    readonly names: readonly Word[];
    readonly options: LineOptions;
}

interface Visit {
    readonly service: string;
    next: number;
}

/** Longest part of a cycle that a reason spells out. */
const maxNamedServices = 8;

/** Rules read so far. Lines with a problem still declare their name, so that one fault is reported once. */
export class RuleDraft {
    readonly tenants = new Map<string, TenantRule>();
    readonly services = new Map<string, ServiceRule>();
    readonly routes = new Map<string, RouteRule>();
    private readonly declaredLines = new Map<RuleKind, Map<string, number>>();
    private readonly pathLines = new Map<string, number>();
    private readonly needs = new Map<string, Needs>();
    private readonly references: Reference[] = [];
    private readonly problems: ProblemCollector;

    constructor(problems: ProblemCollector) {
        this.problems = problems;
        for (const kind of Object.values(RuleKind)) {
            this.declaredLines.set(kind, new Map());
        }
    }

    /** Names are unique within a kind. */
    declare(declaration: Declaration): void {
        const { kind, name, line, column, options } = declaration;
        const lines = this.declaredLines.get(kind);
        const earlier = lines?.get(name);
        if (earlier !== undefined) {
            options.report(
                RuleProblemCode.DuplicateName,
                column,
                `${kind} ${quote(name)} is already declared on line ${earlier}`,
                "Remove or rename one of them.",
            );
            return;
        }
        lines?.set(name, line);
    }

    /** Paths are unique among routes. */
    claimPath(path: string, line: number, column: number, options: LineOptions): void {
        const earlier = this.pathLines.get(path);
        if (earlier !== undefined) {
            options.report(
                RuleProblemCode.DuplicatePath,
                column,
                `path ${quote(path)} is already routed on line ${earlier}`,
                "Remove one of the routes or change its path.",
            );
            return;
        }
        this.pathLines.set(path, line);
    }

    refer(kind: RuleKind, names: readonly Word[], options: LineOptions): void {
        for (const { text, column } of names) {
            this.references.push({ kind, name: text, column, options });
        }
    }

    addNeeds(service: string, names: readonly Word[], options: LineOptions): void {
        if (!this.needs.has(service)) {
            this.needs.set(service, { names, options });
        }
    }

    /** Reports names that no line declares. */
    checkReferences(): void {
        for (const { kind, name, column, options } of this.references) {
            if (!this.declaredLines.get(kind)?.has(name)) {
                options.report(
                    RuleProblemCode.DanglingReference,
                    column,
                    `no line declares ${kind} ${quote(name)}`,
                    `Add a line "${kind} ${name} ..." or correct the name.`,
                );
            }
        }
    }

    /** Reports each need that leads back to its own service. The stack is explicit: chains may be very long. */
    checkCycles(): void {
        const finished = new Set<string>();
        for (const service of this.needs.keys()) {
            if (!finished.has(service)) {
                this.searchCycles(service, finished);
            }
        }
    }

    /** The rule set of a file without problems. */
    finish(): RuleSet {
        return { tenants: this.tenants, services: this.services, routes: this.routes };
    }

    private searchCycles(start: string, finished: Set<string>): void {
        const depths = new Map([[start, 0]]);
        const stack: Visit[] = [{ service: start, next: 0 }];
        for (let visit = stack.at(-1); visit !== undefined; visit = stack.at(-1)) {
            const needs = this.needs.get(visit.service);
            const need = needs?.names[visit.next++];
            if (needs === undefined || need === undefined) {
                stack.pop();
                depths.delete(visit.service);
                finished.add(visit.service);
                continue;
            }
            const depth = depths.get(need.text);
            if (depth !== undefined) {
                reportCycle(stack, depth, need, needs.options);
            }
            else if (!finished.has(need.text)) {
                depths.set(need.text, stack.length);
                stack.push({ service: need.text, next: 0 });
            }
        }
    }
}

function reportCycle(stack: readonly Visit[], depth: number, need: Word, options: LineOptions): void {
    const named = stack.slice(depth, depth + maxNamedServices).map(visit => visit.service);
    const omitted = stack.length - depth > maxNamedServices ? ["..."] : [];
    options.report(
        RuleProblemCode.Cycle,
        need.column,
        `needs form a cycle: ${[...named, ...omitted, need.text].join(" -> ")}`,
        "Remove one of these needs.",
    );
}
