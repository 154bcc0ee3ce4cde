/**
 * Command line of the benchmarks.
 */
import { cac } from "cac";
import { deployments } from "../deployments";

/** Command-line letters of the benchmark cases. */
export enum CaseLetter {
    Steady = "a",
    LoadRamp = "b",
    HeadOfLine = "c",
    SlowTargets = "d",
    ZonePartition = "e",
    ServiceOutage = "f",
}

/** Validated arguments. */
export interface BenchArguments {
    readonly deployments: readonly string[];
    readonly cases: readonly CaseLetter[];
    readonly quick: boolean;
    readonly seed: number;
}

export enum ArgumentResultKind {
    Run = "run",
    /** `--help` was given and the help text is already printed. */
    HelpPrinted = "printed",
    Invalid = "refused",
}

export type ArgumentResult =
    | { readonly kind: ArgumentResultKind.Run; readonly settings: BenchArguments }
    | { readonly kind: ArgumentResultKind.HelpPrinted }
    | { readonly kind: ArgumentResultKind.Invalid; readonly problems: readonly string[] };

const defaultSeed = 1;
const supportedOptions = new Set(["--", "deployment", "case", "quick", "seed", "help", "h"]);

/** Parses a command line as in `process.argv`. */
export function parseBenchArguments(argv: readonly string[]): ArgumentResult {
    const program = cac("bench");
    program.usage("[options]");
    program.option("--deployment <name>", `${Object.keys(deployments).join(" or ")} (default: both)`);
    program.option("--case <letters>", "Cases to run, such as a,b (default: all)");
    program.option("--quick", "Short runs: both deployments within a minute");
    program.option("--seed <n>", `Seed of arrivals and run times (default: ${defaultSeed})`);
    program.help();
    const parsed = program.parse([...argv], { run: false });
    if (parsed.options.help === true) {
        return { kind: ArgumentResultKind.HelpPrinted };
    }
    const problems = [
        ...Object.keys(parsed.options).filter(name => !supportedOptions.has(name)).map(name => `unknown flag --${name}`),
        ...parsed.args.map(word => `unexpected argument "${word}"`),
    ];
    const deploymentNames = parsed.options.deployment === undefined
        ? Object.keys(deployments)
        : String(parsed.options.deployment).split(",");
    const letters = parsed.options.case === undefined
        ? Object.values(CaseLetter)
        : String(parsed.options.case).split(",");
    const seed = Number(parsed.options.seed ?? defaultSeed);
    problems.push(...deploymentNames.filter(name => !Object.hasOwn(deployments, name)).map(name => `unknown deployment "${name}"`));
    problems.push(...letters.filter(letter => !isCaseLetter(letter)).map(letter => `unknown case "${letter}"`));
    if (!Number.isSafeInteger(seed)) {
        problems.push("--seed must be a whole number");
    }
    return problems.length > 0
        ? { kind: ArgumentResultKind.Invalid, problems }
        : {
                kind: ArgumentResultKind.Run,
                settings: {
                    deployments: deploymentNames,
                    cases: letters.filter(isCaseLetter),
                    quick: parsed.options.quick === true,
                    seed,
                },
            };
}

function isCaseLetter(letter: string): letter is CaseLetter {
    return (Object.values(CaseLetter) as string[]).includes(letter);
}
