/**
 * Command line of the soak.
 */
import { cac } from "cac";
import type { SoakOptions } from "@bilberrycroft/platform/soak";

export interface SoakArguments extends Omit<SoakOptions, "seed"> {
    readonly firstSeed: number;
    readonly seeds: number;
}

export enum SoakArgumentsKind {
    Run = "run",
    HelpPrinted = "help-printed",
    Invalid = "invalid",
}

export type SoakArgumentsResult =
    | { readonly kind: SoakArgumentsKind.Run; readonly settings: SoakArguments }
    | { readonly kind: SoakArgumentsKind.HelpPrinted }
    | { readonly kind: SoakArgumentsKind.Invalid; readonly problem: string };

const millisecondsPerSecond = 1_000;
const bounds = {
    first: { minimum: 1, maximum: 1_000_000, default: 1 },
    seeds: { minimum: 1, maximum: 1_000, default: 50 },
    /** Limits the number of processes that a run starts. */
    hosts: { minimum: 2, maximum: 150, default: 12 },
    seconds: { minimum: 1, maximum: 600, default: 15 },
};

/** Parses a command line as in `process.argv`. */
export function parseSoakArguments(argv: readonly string[]): SoakArgumentsResult {
    const program = cac("soak");
    program.usage("[options]");
    program.option("--first <n>", "First seed", { default: bounds.first.default });
    program.option("--seeds <n>", "Number of seeds", { default: bounds.seeds.default });
    program.option("--hosts <n>", "Hosts, each with a process", { default: bounds.hosts.default });
    program.option("--seconds <n>", "Seconds of requests for each seed", { default: bounds.seconds.default });
    program.option("--program <file>", "Built sidecar", { default: "dist/bilberrycroft-sidecar.cjs" });
    program.option("--node-flags <flags>", "Flags of Node.js for the sidecar, separated by spaces", { default: "" });
    program.option("--store-returns", "The store comes back from copies", { default: false });
    program.help();
    const { options } = program.parse([...argv], { run: false });
    if (options.help === true) {
        return { kind: SoakArgumentsKind.HelpPrinted };
    }
    for (const [name, { minimum, maximum }] of Object.entries(bounds)) {
        const value = Number(options[name]);
        if (!Number.isInteger(value) || value < minimum || value > maximum) {
            const problem = `--${name} must be an integer from ${minimum} to ${maximum}`;
            return { kind: SoakArgumentsKind.Invalid, problem };
        }
    }
    return {
        kind: SoakArgumentsKind.Run,
        settings: {
            firstSeed: Number(options.first),
            seeds: Number(options.seeds),
            hosts: Number(options.hosts),
            durationMs: Number(options.seconds) * millisecondsPerSecond,
            program: String(options.program),
            returnsStore: options.storeReturns === true,
            nodeFlags: String(options.nodeFlags).split(" ").filter(flag => flag !== ""),
        },
    };
}
