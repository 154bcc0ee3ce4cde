/**
 * Settings of the operators' client: a YAML file, overridden by flags.
 */
import { existsSync } from "node:fs";
import {
    formatSettingsProblem,
    readSettingsFile,
    SettingsOutcomeKind,
} from "@bilberrycroft/core.settings";
import { z } from "zod";

/** Read if it exists and no other file is named. */
export const defaultSettingsFile = "bilberrycroft.yaml";

const defaultWaitSeconds = 30;

const address = z.string().regex(/^\S+:\d+$/, "expected host:port or a URL with a port");

/** Schema of the file. */
export const settingsSchema = z.strictObject({
    /** Address of the platform store. */
    store: address.optional(),
    /** Control addresses of nodes to ask; a few of each zone are enough. */
    nodes: z.array(address).default([]),
    /** Recorded as the author of new versions. */
    operator: z.string().trim().min(1).max(100).regex(/^\P{Cc}*$/u, "must not hold control characters").optional(),
    /** How long `--wait` waits. */
    waitSeconds: z.number().positive().max(86_400).default(defaultWaitSeconds),
});

/** Settings after flags were applied. */
export type OperatorSettings = z.output<typeof settingsSchema>;

/** Flags that override the file. */
export interface SettingsFlags {
    readonly settings: string | undefined;
    readonly store: string | undefined;
    readonly nodes: readonly string[];
    readonly operator: string | undefined;
    readonly waitSeconds: number | undefined;
}

/** Result of resolving the settings. */
export type ResolvedSettings =
    | { readonly kind: SettingsOutcomeKind.Accepted; readonly settings: OperatorSettings }
    | { readonly kind: SettingsOutcomeKind.Refused; readonly lines: readonly string[] };

/** Reads the file, if there is one, and applies the flags. */
export function resolveSettings(flags: SettingsFlags): ResolvedSettings {
    const file = flags.settings ?? (existsSync(defaultSettingsFile) ? defaultSettingsFile : undefined);
    const read = file === undefined
        ? { kind: SettingsOutcomeKind.Accepted as const, settings: settingsSchema.parse({}) }
        : readSettingsFile(file, settingsSchema);
    if (read.kind === SettingsOutcomeKind.Refused) {
        return { kind: SettingsOutcomeKind.Refused, lines: read.problems.map(formatSettingsProblem) };
    }
    const checked = settingsSchema.safeParse({
        store: flags.store ?? read.settings.store,
        nodes: flags.nodes.length > 0 ? flags.nodes : read.settings.nodes,
        operator: flags.operator ?? read.settings.operator,
        waitSeconds: flags.waitSeconds ?? read.settings.waitSeconds,
    });
    if (!checked.success) {
        const lines = checked.error.issues.map(issue => `flags: ${issue.path.join(".")}: ${issue.message}`);
        return { kind: SettingsOutcomeKind.Refused, lines };
    }
    return { kind: SettingsOutcomeKind.Accepted, settings: checked.data };
}
