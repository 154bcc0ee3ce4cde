/**
 * Command line of `bilberrycroft-store`.
 */
import { createLogger } from "@bilberrycroft/core.logger";
import { formatSettingsProblem, parseSettings, readSettingsFile, SettingsOutcomeKind } from "@bilberrycroft/core.settings";
import { cac } from "cac";
import { z } from "zod";
import packageManifest from "../package.json";
import { defaultMaxConnections, startStoreStandin, type StoreStandin } from "./server";

const maxPort = 65_535;

/** Settings of the program. */
export const storeSettingsSchema = z.strictObject({
    host: z.string().min(1).default("127.0.0.1"),
    port: z.number().int().min(0).max(maxPort).default(7_500),
    maxConnections: z.number().int().min(1).default(defaultMaxConnections),
});

/** Settings of the program after defaults. */
export type StoreSettings = z.output<typeof storeSettingsSchema>;

/** Kinds of `StoreCommand`. */
export enum StoreCommandKind {
    Run = "run",
    /** Help or version was printed. */
    Printed = "printed",
    Refused = "refused",
}

/** What a command line asks for. */
export type StoreCommand =
    | { readonly kind: StoreCommandKind.Run; readonly settings: StoreSettings }
    | { readonly kind: StoreCommandKind.Printed }
    | { readonly kind: StoreCommandKind.Refused; readonly problems: readonly string[] };

/** Parses a command line; flags override the settings file. */
export function parseStoreCommand(argv: readonly string[]): StoreCommand {
    const program = cac("bilberrycroft-store");
    program.option("--settings <file>", "YAML settings file");
    program.option("--host <address>", "Address to listen on (default: 127.0.0.1)");
    program.option("--port <port>", "Port to listen on, 0 for any free port (default: 7500)");
    program.option("--max-connections <n>", `Connections to accept at once (default: ${defaultMaxConnections})`);
    program.help();
    program.version(packageManifest.version);
    program.usage("[options]");
    const { args, options } = program.parse([...argv], { run: false });
    if (options.help === true || options.version === true) {
        return { kind: StoreCommandKind.Printed };
    }
    return args.length > 0
        ? { kind: StoreCommandKind.Refused, problems: [`unexpected argument "${args[0]}"`] }
        : combineSettings(options);
}

const optionsSchema = z.strictObject({
    "--": z.array(z.string()).max(0).optional(),
    settings: z.coerce.string().optional(),
    host: z.coerce.string().optional(),
    port: z.number().optional(),
    maxConnections: z.number().optional(),
});

function combineSettings(options: unknown): StoreCommand {
    const flags = optionsSchema.safeParse(options);
    if (!flags.success) {
        return { kind: StoreCommandKind.Refused, problems: [z.prettifyError(flags.error)] };
    }
    const { settings: file, host, port, maxConnections } = flags.data;
    const read = file === undefined
        ? parseSettings("", "defaults", storeSettingsSchema)
        : readSettingsFile(file, storeSettingsSchema);
    if (read.kind === SettingsOutcomeKind.Refused) {
        return { kind: StoreCommandKind.Refused, problems: read.problems.map(formatSettingsProblem) };
    }
    const overrides = Object.entries({ host, port, maxConnections }).filter(([, value]) => value !== undefined);
    const checked = storeSettingsSchema.safeParse({ ...read.settings, ...Object.fromEntries(overrides) });
    return checked.success
        ? { kind: StoreCommandKind.Run, settings: checked.data }
        : { kind: StoreCommandKind.Refused, problems: [z.prettifyError(checked.error)] };
}

/** Runs the stand-in with the given settings and logs its address. */
export async function runStoreStandin(settings: StoreSettings): Promise<StoreStandin> {
    const logger = createLogger("store");
    const standin = await startStoreStandin(settings);
    logger.info("Listening.", { address: standin.address });
    return standin;
}
