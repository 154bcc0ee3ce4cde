/**
 * Differences between two rule sets.
 */
import { type Rule, type RuleChange, RuleChangeKind, type RuleSet } from "./types";

/**
 * Returns the rules that were added, removed or changed. A rule is changed if any part of its line differs, including
 * the comment. A rule that only moved to another line is not listed.
 */
export function compareRules(before: RuleSet, after: RuleSet): readonly RuleChange[] {
    return [
        ...compareKind(before.tenants, after.tenants),
        ...compareKind(before.services, after.services),
        ...compareKind(before.routes, after.routes),
    ];
}

function compareKind(before: ReadonlyMap<string, Rule>, after: ReadonlyMap<string, Rule>): readonly RuleChange[] {
    const changes: RuleChange[] = [];
    for (const rule of before.values()) {
        if (!after.has(rule.name)) {
            changes.push(createChange(RuleChangeKind.Removed, rule, rule, undefined));
        }
    }
    for (const rule of after.values()) {
        const earlier = before.get(rule.name);
        if (earlier === undefined) {
            changes.push(createChange(RuleChangeKind.Added, rule, undefined, rule));
        }
        else if (earlier.text !== rule.text) {
            changes.push(createChange(RuleChangeKind.Changed, rule, earlier, rule));
        }
    }
    return changes;
}

function createChange(
    kind: RuleChangeKind,
    rule: Rule,
    before: Rule | undefined,
    after: Rule | undefined,
): RuleChange {
    return {
        kind,
        ruleKind: rule.kind,
        name: rule.name,
        line: rule.line,
        requester: rule.requester,
        before,
        after,
    };
}
