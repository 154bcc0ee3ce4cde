/**
 * Command line of the benches.
 */
import { cac } from "cac";
import { deployments } from "../deployments";

/** Cases by letter. */
export enum CaseLetter {
    Steady = "a",
    Swing = "b",
    HeadOfLine = "c",
    Slowed = "d",
    ZoneCut = "e",
    Outage = "f",
}

/** Checked arguments. */
export interface BenchArguments {
    readonly deployments: readonly string[];
    readonly cases: readonly CaseLetter[];
    readonly quick: boolean;
    readonly seed: number;
}

/** Kinds of `ArgumentOutcome`. */
export enum ArgumentOutcomeKind {
    Run = "run",
    /** The help was printed. */
    Printed = "printed",
    Refused = "refused",
}

/** Result of the check of a command line. */
export type ArgumentOutcome =
    | { readonly kind: ArgumentOutcomeKind.Run; readonly settings: BenchArguments }
    | { readonly kind: ArgumentOutcomeKind.Printed }
    | { readonly kind: ArgumentOutcomeKind.Refused; readonly problems: readonly string[] };

const defaultSeed = 1;
const knownOptions = new Set(["--", "deployment", "case", "quick", "seed", "help", "h"]);

/** Parses a command line as in `process.argv`. */
export function parseBenchArguments(argv: readonly string[]): ArgumentOutcome {
    const program = cac("bench");
    program.usage("[options]");
    program.option("--deployment <name>", `${Object.keys(deployments).join(" or ")} (default: both)`);
    program.option("--case <letters>", "Cases to run, such as a,b (default: all)");
    program.option("--quick", "Short runs: both deployments within a minute");
    program.option("--seed <n>", `Seed of arrivals and run times (default: ${defaultSeed})`);
    program.help();
    const parsed = program.parse([...argv], { run: false });
    if (parsed.options.help === true) {
        return { kind: ArgumentOutcomeKind.Printed };
    }
    const problems = [
        ...Object.keys(parsed.options).filter(name => !knownOptions.has(name)).map(name => `unknown flag --${name}`),
        ...parsed.args.map(word => `unexpected "${word}"`),
    ];
    const chosen = parsed.options.deployment === undefined
        ? Object.keys(deployments)
        : String(parsed.options.deployment).split(",");
    const letters = parsed.options.case === undefined
        ? Object.values(CaseLetter)
        : String(parsed.options.case).split(",");
    const seed = Number(parsed.options.seed ?? defaultSeed);
    problems.push(...chosen.filter(name => !Object.hasOwn(deployments, name)).map(name => `unknown deployment "${name}"`));
    problems.push(...letters.filter(letter => !isCaseLetter(letter)).map(letter => `unknown case "${letter}"`));
    if (!Number.isSafeInteger(seed)) {
        problems.push("the seed must be a whole number");
    }
    return problems.length > 0
        ? { kind: ArgumentOutcomeKind.Refused, problems }
        : {
                kind: ArgumentOutcomeKind.Run,
                settings: {
                    deployments: chosen,
                    cases: letters.filter(isCaseLetter),
                    quick: parsed.options.quick === true,
                    seed,
                },
            };
}

function isCaseLetter(letter: string): letter is CaseLetter {
    return (Object.values(CaseLetter) as string[]).includes(letter);
}
