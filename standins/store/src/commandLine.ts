/**
 * Command line of a stand-in: flags override a YAML settings file, and one schema checks both.
 */
import { formatSettingsProblem, parseSettings, readSettingsFile, SettingsOutcomeKind } from "@bilberrycroft/core.settings";
import { cac } from "cac";
import { z } from "zod";

/** One flag that overrides the setting of the same name. */
export interface CommandFlag {
    /** Name of the setting; the camel case form of the flag. */
    readonly setting: string;
    /** Flag and value as the help shows them, such as `--port <port>`. */
    readonly usage: string;
    readonly description: string;
}

/** What a command line is parsed with. */
export interface CommandLineOptions<Schema extends z.ZodType> {
    readonly name: string;
    readonly version: string;
    readonly flags: readonly CommandFlag[];
    readonly schema: Schema;
    /** As in `process.argv`. */
    readonly argv: readonly string[];
}

/** Kinds of `CommandLine`. */
export enum CommandLineKind {
    Run = "run",
    /** Help or version was printed. */
    Printed = "printed",
    Refused = "refused",
}

/** What a command line asks for. */
export type CommandLine<Settings> =
    | { readonly kind: CommandLineKind.Run; readonly settings: Settings }
    | { readonly kind: CommandLineKind.Printed }
    | RefusedCommandLine;

interface RefusedCommandLine {
    readonly kind: CommandLineKind.Refused;
    readonly problems: readonly string[];
}

/** Parses a command line. */
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
    const known = new Set(["--", "settings", ...options.flags.map(flag => flag.setting)]);
    const unknown = Object.keys(parsed.options).filter(name => !known.has(name));
    const unexpected = [...unknown.map(name => `unknown flag "${name}"`), ...parsed.args];
    return unexpected.length > 0
        ? refuse(unexpected.map(problem => `unexpected on the command line: ${problem}`))
        : combineSettings(options.schema, parsed.options);
}

function combineSettings<Schema extends z.ZodType>(
    schema: Schema,
    flags: Readonly<Record<string, unknown>>,
): CommandLine<z.output<Schema>> {
    const file = flags.settings;
    const overrides = Object.fromEntries(Object.entries(flags).filter(([name]) => name !== "--" && name !== "settings"));
    const anySettings = z.record(z.string(), z.unknown());
    const read = file === undefined
        ? parseSettings("", "defaults", anySettings)
        : readSettingsFile(String(file), anySettings);
    if (read.kind === SettingsOutcomeKind.Refused) {
        return refuse(read.problems.map(formatSettingsProblem));
    }
    const checked = schema.safeParse({ ...read.settings, ...overrides });
    if (checked.success) {
        return { kind: CommandLineKind.Run, settings: checked.data };
    }
    // Problems of the file are reported with their lines; only the file alone has them.
    const fileCheck = file === undefined ? undefined : readSettingsFile(String(file), schema);
    return refuse(fileCheck?.kind === SettingsOutcomeKind.Refused
        ? fileCheck.problems.map(formatSettingsProblem)
        : checked.error.issues.map(issue => `--${issue.path.join(".")}: ${issue.message}`));
}

function refuse(problems: readonly string[]): RefusedCommandLine {
    return { kind: CommandLineKind.Refused, problems };
}
