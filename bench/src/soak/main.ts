/**
 * Entry point of `npm run soak`: plays soak runs with consecutive seeds and prints the promises that were broken.
 */
import { runSoak, type SoakResult } from "@bilberrycroft/platform/soak";
import { SoakArgumentsKind, type SoakArguments, parseSoakArguments } from "./arguments";

enum ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
}

async function run({ firstSeed, seeds, ...options }: SoakArguments): Promise<ExitCode> {
    let brokenSeeds = 0;
    for (let seed = firstSeed; seed < firstSeed + seeds; seed++) {
        const result = await runSoak({ ...options, seed });
        brokenSeeds += result.violations.length > 0 ? 1 : 0;
        print(seed, result);
    }
    console.log(`${seeds} seeds, ${brokenSeeds} with broken promises`);
    return brokenSeeds === 0 ? ExitCode.Done : ExitCode.Failed;
}

function print(seed: number, { requests, outcomes, late, faults, starvedMs, violations, logFolder }: SoakResult): void {
    const counts = Object.entries(outcomes).map(([outcome, count]) => `${outcome}: ${count}`).join(", ");
    console.log(`seed ${seed}: ${requests} requests (${counts}), ${late} answered late, ${faults} faults, `
        + `${starvedMs} ms without a processor, `
        + `${violations.length} broken promises${logFolder === undefined ? "" : `, logs in ${logFolder}`}`);
    violations.forEach(({ promise, detail }) => console.log(`    ${promise}: ${detail}`));
}

// The processes of a run are ended when this one exits.
process.once("SIGINT", () => process.exit(ExitCode.Failed));
process.once("SIGTERM", () => process.exit(ExitCode.Failed));

const result = parseSoakArguments(process.argv);
switch (result.kind) {
    case SoakArgumentsKind.HelpPrinted:
        break;
    case SoakArgumentsKind.Invalid:
        process.stderr.write(`soak: ${result.problem}\n`);
        process.exitCode = ExitCode.Usage;
        break;
    case SoakArgumentsKind.Run:
        process.exit(await run(result.settings));
}
