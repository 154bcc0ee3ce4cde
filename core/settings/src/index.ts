/**
 * Reads settings from YAML and validates them against a schema. Problems are reported with file, line, column and key.
 */
import { readFileSync } from "node:fs";
import { isMap, isScalar, LineCounter, type Node, type Pair, parseDocument } from "yaml";
import type { z } from "zod";

/** A reason why settings were refused. */
export interface SettingsProblem {
    readonly file: string;
    readonly line: number;
    readonly column: number;
    readonly key: string;
    readonly reason: string;
}

export type SettingsOutcome<Settings> =
    | { readonly kind: SettingsOutcomeKind.Accepted; readonly settings: Settings }
    | { readonly kind: SettingsOutcomeKind.Refused; readonly problems: readonly SettingsProblem[] };

type RefusedSettings = Extract<SettingsOutcome<unknown>, { kind: SettingsOutcomeKind.Refused }>;

export enum SettingsOutcomeKind {
    Accepted = "accepted",
    Refused = "refused",
}

/** Reads and validates a settings file. A file that cannot be read is reported as a problem. */
export function readSettingsFile<Schema extends z.ZodType>(
    file: string,
    schema: Schema,
): SettingsOutcome<z.output<Schema>> {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        return refuse([{ file, line: 1, column: 1, key: "", reason: `cannot read the file: ${(error as Error).message}` }]);
    }
    return parseSettings(text, file, schema);
}

/** Validates the text of a settings file; `file` is used only in problems. */
export function parseSettings<Schema extends z.ZodType>(
    text: string,
    file: string,
    schema: Schema,
): SettingsOutcome<z.output<Schema>> {
    const lineCounter = new LineCounter();
    const document = parseDocument(text, { lineCounter, uniqueKeys: true });
    if (document.errors.length > 0) {
        return refuse(document.errors.map(error => {
            const { line, col } = lineCounter.linePos(error.pos[0]);
            return { file, line, column: col, key: "", reason: error.message.split("\n")[0] ?? error.message };
        }));
    }
    const checked = schema.safeParse(document.toJS() ?? {});
    if (checked.success) {
        return { kind: SettingsOutcomeKind.Accepted, settings: checked.data };
    }
    return refuse(checked.error.issues.flatMap(issue => {
        const unknownKeys = issue.code === "unrecognized_keys" ? issue.keys : undefined;
        const paths = unknownKeys === undefined ? [issue.path] : unknownKeys.map(key => [...issue.path, key]);
        return paths.map(path => ({
            file,
            ...findPosition(document.contents, path, lineCounter),
            key: path.map(String).join("."),
            reason: unknownKeys === undefined ? issue.message : "unknown key",
        }));
    }));
}

/** Formats a problem as `file:line:column: message`, so that editors can jump to it. */
export function formatSettingsProblem(problem: SettingsProblem): string {
    const key = problem.key === "" ? "" : `${problem.key}: `;
    return `${problem.file}:${problem.line}:${problem.column}: ${key}${problem.reason}`;
}

function refuse(problems: readonly SettingsProblem[]): RefusedSettings {
    return { kind: SettingsOutcomeKind.Refused, problems };
}

/** Position of the deepest existing key on the path, so that a missing key is reported at its parent. */
function findPosition(
    root: Node | null | undefined,
    path: readonly PropertyKey[],
    lineCounter: LineCounter,
): { readonly line: number; readonly column: number } {
    let node: unknown = root;
    let offset = root?.range?.[0] ?? 0;
    for (const part of path) {
        const pair = isMap(node) ? findPair(node.items, part) : undefined;
        if (pair === undefined) {
            break;
        }
        offset = (pair.key as Node).range?.[0] ?? offset;
        node = pair.value;
    }
    const { line, col } = lineCounter.linePos(offset);
    return { line: Math.max(line, 1), column: Math.max(col, 1) };
}

function findPair(items: readonly Pair[], name: PropertyKey): Pair | undefined {
    return items.find(item => isScalar(item.key) && item.key.value === name);
}
