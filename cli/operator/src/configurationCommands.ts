/**
 * Commands that work on the configuration in the store: check, diff, apply, undo and history.
 */
import { assertNever } from "@bilberrycroft/core.errors";
import type { Store } from "@bilberrycroft/protocol.store";
import { compareRules, parseRules, RuleParseKind, type RuleProblem } from "@bilberrycroft/state.rules";
import type { Snapshot } from "@bilberrycroft/state.snapshots";
import { type AppliedUpdate, ApplyOutcomeKind } from "./applying";
import { formatChange, formatConflict, formatHistoryEntry, formatProblem, formatTime } from "./formatting";
import { readHistory, readVersion } from "./history";
import { type BrokenRecord, readCurrent, RecordOutcomeKind, type UnavailableRecord } from "./records";
import { type CommandResult, createFailureResult, ExitCode } from "./results";
import { type UndoOutcome, UndoOutcomeKind } from "./undoing";

export interface RulesFile {
    /** Path as given on the command line. */
    readonly name: string;
    readonly text: string;
}

/** Validates a rules file without reading the store. */
export function checkFile(file: RulesFile): CommandResult {
    const parse = parseRules(file.text);
    if (parse.kind === RuleParseKind.Refused) {
        return reportProblems(file.name, parse.problems);
    }
    const { tenants, services, routes } = parse.rules;
    const counts = { tenants: tenants.size, services: services.size, routes: routes.size };
    return {
        exitCode: ExitCode.Done,
        data: { kind: parse.kind, ...counts },
        lines: [`${file.name}: accepted, ${counts.tenants} tenants, ${counts.services} services, ${counts.routes} routes`],
    };
}

/** Compares a rules file with the accepted version. */
export async function diffFile(store: Store, file: RulesFile): Promise<CommandResult> {
    const parse = parseRules(file.text);
    if (parse.kind === RuleParseKind.Refused) {
        return reportProblems(file.name, parse.problems);
    }
    const current = await readCurrent(store);
    if (current.kind === RecordOutcomeKind.Broken || current.kind === RecordOutcomeKind.Unavailable) {
        return reportRecordFailure(current);
    }
    const snapshot = current.kind === RecordOutcomeKind.Found ? current.snapshot : undefined;
    const base = snapshot?.version ?? 0;
    const before = parseRules(snapshot?.text ?? "");
    if (before.kind === RuleParseKind.Refused) {
        return reportProblems(`accepted version ${base}`, before.problems);
    }
    const changes = compareRules(before.rules, parse.rules);
    return {
        exitCode: ExitCode.Done,
        data: { kind: "compared", base, changes },
        lines: [
            `${changes.length} rules differ from version ${base}; apply with --base ${base}`,
            ...changes.flatMap(formatChange),
        ],
    };
}

/** Lists the newest versions. */
export async function listHistory(store: Store, limit: number): Promise<CommandResult> {
    const history = await readHistory(store, limit);
    if (history.kind === RecordOutcomeKind.Unavailable) {
        return reportRecordFailure(history);
    }
    const broken = history.broken.map(record => `${record.key} is invalid: ${record.reason}`);
    return {
        exitCode: broken.length === 0 ? ExitCode.Done : ExitCode.Refused,
        data: history,
        lines: history.entries.length === 0 && broken.length === 0
            ? ["No version has been accepted yet."]
            : [...history.entries.flatMap(formatHistoryEntry), ...broken],
    };
}

/** Shows the text of one version. */
export async function showVersion(store: Store, version: number): Promise<CommandResult> {
    const read = await readVersion(store, version);
    if (read === undefined) {
        return createFailureResult(ExitCode.Refused, UndoOutcomeKind.NoSuchVersion, `There is no version ${version}.`);
    }
    if (read.kind !== RecordOutcomeKind.Found) {
        return reportRecordFailure(read);
    }
    const { snapshot } = read;
    return { exitCode: ExitCode.Done, data: snapshot, lines: [...snapshot.text.replace(/\n$/, "").split("\n")] };
}

/** Formats the result of `apply` or `undo`. `name` is the file or version that rule problems are reported for. */
export function reportUpdate(name: string, outcome: UndoOutcome): CommandResult {
    switch (outcome.kind) {
        case ApplyOutcomeKind.Applied:
            return { exitCode: ExitCode.Done, data: outcome, lines: describeUpdate(outcome) };
        case ApplyOutcomeKind.Unchanged:
            return {
                exitCode: ExitCode.Done,
                data: outcome,
                lines: [`Nothing to apply: ${formatVersionOrigin(outcome.snapshot)} already has this content.`],
            };
        case ApplyOutcomeKind.Refused:
            return reportProblems(name, outcome.problems);
        case ApplyOutcomeKind.Conflict:
            return { exitCode: ExitCode.Conflict, data: outcome, lines: formatConflict(outcome.conflict) };
        case ApplyOutcomeKind.StoreUnavailable:
            return createFailureResult(
                ExitCode.StoreUnavailable,
                outcome.kind,
                `The store is not available: ${outcome.reason}.`,
                "Nothing was applied.",
            );
        case ApplyOutcomeKind.BrokenRecord:
            return createFailureResult(
                ExitCode.Refused,
                outcome.kind,
                `${outcome.key} in the store is invalid: ${outcome.reason}.`,
                "Nothing was applied.",
            );
        case ApplyOutcomeKind.Unknown:
            return {
                exitCode: ExitCode.OutcomeUnknown,
                data: outcome,
                lines: [
                    `It is unknown whether version ${outcome.version} was applied: ${outcome.reason}.`,
                    `Look for change ${outcome.changeId} in the output of "history --json", or run the command again.`,
                    "A retry does not apply the same change twice.",
                ],
            };
        case UndoOutcomeKind.NothingToUndo:
            return createFailureResult(ExitCode.Refused, outcome.kind, "There is no earlier version to restore.");
        case UndoOutcomeKind.NoSuchVersion:
            return createFailureResult(ExitCode.Refused, outcome.kind, `There is no version ${outcome.version}.`);
        default:
            return assertNever(outcome);
    }
}

/** Returns the snapshot that `--wait` waits for; `undefined` if the update failed. */
export function findAwaitedSnapshot(outcome: UndoOutcome): Snapshot | undefined {
    const hasSnapshot = outcome.kind === ApplyOutcomeKind.Applied || outcome.kind === ApplyOutcomeKind.Unchanged;
    return hasSnapshot ? outcome.snapshot : undefined;
}

/** Reports that the store is unavailable or that the stored object is not a valid snapshot. */
export function reportRecordFailure(read: BrokenRecord | UnavailableRecord): CommandResult {
    return read.kind === RecordOutcomeKind.Broken
        ? createFailureResult(ExitCode.Refused, read.kind, `${read.key} in the store is invalid: ${read.reason}.`)
        : createFailureResult(ExitCode.StoreUnavailable, read.kind, `The store is not available: ${read.reason}.`);
}

function describeUpdate(outcome: AppliedUpdate): readonly string[] {
    const { snapshot, changes, supersededBy } = outcome;
    return [
        `Applied version ${snapshot.version}; ${changes.length} rules changed.`,
        ...supersededBy === undefined ? [] : [`Version ${supersededBy} has already replaced it.`],
        ...changes.flatMap(formatChange),
    ];
}

function formatVersionOrigin({ version, operator, acceptedAt }: Snapshot): string {
    return `version ${version} by ${operator} at ${formatTime(acceptedAt)}`;
}

function reportProblems(name: string, problems: readonly RuleProblem[]): CommandResult {
    return {
        exitCode: ExitCode.Refused,
        data: { kind: ApplyOutcomeKind.Refused, problems },
        lines: [
            ...problems.flatMap(problem => formatProblem(name, problem)),
            `${name}: refused, ${problems.length} problems`,
        ],
    };
}
