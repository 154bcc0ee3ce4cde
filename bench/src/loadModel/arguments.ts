/**
 * Command line of `npm run experiment`.
 */
import { cac } from "cac";
import { Strategy } from "./strategies";

export enum ExperimentCommand {
    Run = "run",
    Compare = "compare",
    Sweep = "sweep",
    /** Compares two files that `run --json` wrote, of two builds for example. */
    Diff = "diff",
}

export interface ExperimentArguments {
    readonly command: ExperimentCommand;
    /** The scenario, or the two files of `diff`. */
    readonly files: readonly string[];
    readonly strategies: readonly Strategy[];
    readonly firstSeed: number;
    readonly seeds: number;
    /** Multiples of the scenario's targets and calls. */
    readonly sizes: readonly number[];
    /** File for the results as JSON. */
    readonly json: string | undefined;
    /** Folder for plots. */
    readonly plots: string | undefined;
}

export enum ExperimentArgumentsKind {
    Run = "run",
    HelpPrinted = "help-printed",
    Invalid = "invalid",
}

export type ExperimentArgumentsResult =
    | { readonly kind: ExperimentArgumentsKind.Run; readonly settings: ExperimentArguments }
    | { readonly kind: ExperimentArgumentsKind.HelpPrinted }
    | { readonly kind: ExperimentArgumentsKind.Invalid; readonly problem: string };

const maxSeeds = 1_000;
const maxSize = 100;
const defaultSeeds = 5;
const commands = Object.values(ExperimentCommand);
const strategies = Object.values(Strategy);

/** Parses a command line as in `process.argv`. */
export function parseExperimentArguments(argv: readonly string[]): ExperimentArgumentsResult {
    const program = cac("experiment");
    program.usage("<run|compare|sweep> <scenario.yaml> [options], or diff <before.json> <after.json>");
    program.option("--strategies <names>", `Some of ${strategies.join(", ")}, separated by commas`);
    program.option("--first <n>", "First seed", { default: 1 });
    program.option("--seeds <n>", "Number of seeds", { default: defaultSeeds });
    program.option("--sizes <n,...>", "Multiples of targets and calls for sweep", { default: "1,3,10" });
    program.option("--json <file>", "Write the results to a file");
    program.option("--plots <folder>", "Write plots as SVG files to a folder");
    program.help();
    const { args: [command, ...files], options } = program.parse([...argv], { run: false });
    if (options.help === true) {
        return { kind: ExperimentArgumentsKind.HelpPrinted };
    }
    const invalid = (problem: string): ExperimentArgumentsResult =>
        ({ kind: ExperimentArgumentsKind.Invalid, problem });
    const known = commands.find(name => name === command);
    if (known === undefined) {
        return invalid(`the command must be one of ${commands.join(", ")}`);
    }
    const fileCount = known === ExperimentCommand.Diff ? 2 : 1;
    if (files.length !== fileCount) {
        return invalid(`${known} takes ${fileCount === 1 ? "a scenario" : "two files"}`);
    }
    const defaultNames = known === ExperimentCommand.Compare ? strategies.join(",") : Strategy.Product;
    const names = readList(options.strategies ?? defaultNames);
    const chosen = strategies.filter(strategy => names.includes(strategy));
    const unknown = names.find(name => !chosen.some(strategy => strategy === name));
    if (unknown !== undefined) {
        return invalid(`there is no strategy "${unknown}"; there are ${strategies.join(", ")}`);
    }
    const [firstSeed, seeds] = [Number(options.first), Number(options.seeds)];
    if (!Number.isInteger(firstSeed) || firstSeed < 1 || !Number.isInteger(seeds) || seeds < 1 || seeds > maxSeeds) {
        return invalid(`--first and --seeds must be positive integers, --seeds at most ${maxSeeds}`);
    }
    const sizes = readList(options.sizes).map(Number);
    if (!sizes.every(size => Number.isInteger(size) && size >= 1 && size <= maxSize)) {
        return invalid(`--sizes must be integers from 1 to ${maxSize}`);
    }
    const { json, plots } = options as { json?: string; plots?: string };
    const settings = { command: known, files, strategies: chosen, firstSeed, seeds, sizes, json, plots };
    return { kind: ExperimentArgumentsKind.Run, settings };
}

function readList(value: unknown): string[] {
    return String(value).split(",").map(part => part.trim());
}
