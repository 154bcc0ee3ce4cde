/**
 * Command line of a stand-in. Flags override a YAML settings file, and one schema validates both.
 */
import { formatSettingsProblem, parseSettings, readSettingsFile, SettingsOutcomeKind } from "@bilberrycroft/core.settings";
import { cac } from "cac";
import { z } from "zod";

/** Flag that overrides the setting of the same name. */
export interface CommandFlag {
    /** Name of the setting, which is the flag in camel case. */
    readonly setting: string;
    /** Flag and value as shown in the help, such as `--port <port>`. */
    readonly usage: string;
    readonly description: string;
}

export interface CommandLineOptions<Schema extends z.ZodType> {
    readonly name: string;
    readonly version: string;
    readonly flags: readonly CommandFlag[];
    readonly schema: Schema;
    /** As in `process.argv`. */
    readonly argv: readonly string[];
}

export enum CommandLineKind {
    Run = "run",
    /** The help or the version was printed. */
    Printed = "printed",
    Refused = "refused",
}

/** Result of parsing a command line. */
export type CommandLine<Settings> =
    | { readonly kind: CommandLineKind.Run; readonly settings: Settings }
    | { readonly kind: CommandLineKind.Printed }
    | RefusedCommandLine;

interface RefusedCommandLine {
    readonly kind: CommandLineKind.Refused;
    readonly problems: readonly string[];
}

/** Parses a command line. Prints the help or the version if requested. */
export function parseCommandLine<Schema extends z.ZodType>(
    options: CommandLineOptions<Schema>,
): CommandLine<z.output<Schema>> {
    const program = cac(options.name);
    program.usage("[options]");
    program.option("--settings <file>", "YAML settings file; flags override it");
    options.flags.forEach(flag => program.option(flag.usage, flag.description));
    program.help();
    program.version(options.version);
    const parsed = program.parse([...options.argv], { run: false });
    if (parsed.options.help === true || parsed.options.version === true) {
        return { kind: CommandLineKind.Printed };
    }
    const knownNames = new Set(["--", "settings", ...options.flags.map(flag => flag.setting)]);
    const unknownNames = Object.keys(parsed.options).filter(name => !knownNames.has(name));
    const unexpected = [...unknownNames.map(name => `unknown flag "${name}"`), ...parsed.args];
    return unexpected.length > 0
        ? createRefusal(unexpected.map(problem => `unexpected argument: ${problem}`))
        : mergeSettings(options.schema, parsed.options);
}

function mergeSettings<Schema extends z.ZodType>(
    schema: Schema,
    flags: Readonly<Record<string, unknown>>,
): CommandLine<z.output<Schema>> {
    const file = flags.settings;
    const overrides = Object.fromEntries(Object.entries(flags).filter(([name]) => name !== "--" && name !== "settings"));
    const anySettingsSchema = z.record(z.string(), z.unknown());
    const read = file === undefined
        ? parseSettings("", "defaults", anySettingsSchema)
        : readSettingsFile(String(file), anySettingsSchema);
    if (read.kind === SettingsOutcomeKind.Refused) {
        return createRefusal(read.problems.map(formatSettingsProblem));
    }
    const checked = schema.safeParse({ ...read.settings, ...overrides });
    if (checked.success) {
        return { kind: CommandLineKind.Run, settings: checked.data };
    }
    // The file is validated again on its own, so that its problems are reported with line numbers.
    const fileCheck = file === undefined ? undefined : readSettingsFile(String(file), schema);
    return createRefusal(fileCheck?.kind === SettingsOutcomeKind.Refused
        ? fileCheck.problems.map(formatSettingsProblem)
        : checked.error.issues.map(issue => `--${issue.path.join(".")}: ${issue.message}`));
}

function createRefusal(problems: readonly string[]): RefusedCommandLine {
    return { kind: CommandLineKind.Refused, problems };
}
