/**
 * Settings of the operator client: a YAML file, overridden by flags.
 */
import { existsSync } from "node:fs";
import {
    formatSettingsProblem,
    readSettingsFile,
    SettingsOutcomeKind,
} from "@bilberrycroft/core.settings";
import { z } from "zod";

/** Read if it exists and `--settings` is not given. */
export const defaultSettingsFile = "bilberrycroft.yaml";

const defaultWaitSeconds = 30;

const addressSchema = z.string().regex(/^\S+:\d+$/, "expected host:port or a URL with a port");

export const settingsSchema = z.strictObject({
    /** Address of the platform store. */
    store: addressSchema.optional(),
    /** Control addresses of nodes to query; a few of each zone are enough. */
    nodes: z.array(addressSchema).default([]),
    /** Recorded as the author of new versions. */
    operator: z.string().trim().min(1).max(100).regex(/^\P{Cc}*$/u, "must not contain control characters").optional(),
    /** Maximum time that `--wait` waits. */
    waitSeconds: z.number().positive().max(86_400).default(defaultWaitSeconds),
});

/** Settings after defaults and flags. */
export type OperatorSettings = z.output<typeof settingsSchema>;

export interface SettingsFlags {
    readonly settings: string | undefined;
    readonly store: string | undefined;
    readonly nodes: readonly string[];
    readonly operator: string | undefined;
    readonly waitSeconds: number | undefined;
}

export type ResolvedSettings =
    | { readonly kind: SettingsOutcomeKind.Accepted; readonly settings: OperatorSettings }
    | { readonly kind: SettingsOutcomeKind.Refused; readonly lines: readonly string[] };

/** Reads the settings file, if there is one, and applies the flags. */
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
