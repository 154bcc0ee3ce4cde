/**
 * Entry point of `npm run experiment`.
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import {
    type ExperimentArguments,
    ExperimentArgumentsKind,
    ExperimentCommand,
    parseExperimentArguments,
} from "./arguments";
import { comparePlays } from "./comparison";
import { compareStrategies, type PlaysByStrategy, playStrategies, sweepSizes } from "./experiment";
import { plotOutcomes, plotWorth } from "./plots";
import type { PlayResult } from "./results";
import { type Scenario, parseScenario, ScenarioOutcomeKind } from "./scenario";
import { formatClasses, formatDifferences, formatServices, formatSweep } from "./tables";

enum ExitCode {
    Done = 0,
    Usage = 2,
}

/** Shows which play runs, on a terminal only. */
function showProgress(text: string): void {
    if (process.stderr.isTTY) {
        process.stderr.write(`\r\u001b[K${text}`);
    }
}

async function run(settings: ExperimentArguments): Promise<ExitCode> {
    const [file = "", otherFile = ""] = settings.files;
    if (settings.command === ExperimentCommand.Diff) {
        console.log(formatDifferences(comparePlays(readPlays(file), readPlays(otherFile))));
        return ExitCode.Done;
    }
    const outcome = parseScenario(readFileSync(file, "utf8"));
    switch (outcome.kind) {
        case ScenarioOutcomeKind.Accepted:
            await play(settings, outcome.scenario);
            return ExitCode.Done;
        case ScenarioOutcomeKind.Refused:
            outcome.problems.forEach(({ line, key, reason }) =>
                process.stderr.write(`experiment: ${file}:${line}: ${key === "" ? "" : `${key}: `}${reason}\n`));
            return ExitCode.Usage;
    }
}

async function play(settings: ExperimentArguments, scenario: Scenario): Promise<void> {
    const { command, strategies, firstSeed, sizes, json, plots: folder } = settings;
    const seeds = Array.from({ length: settings.seeds }, (_, index) => firstSeed + index);
    const options = { scenario, strategies, seeds, handleProgress: showProgress };
    if (command === ExperimentCommand.Sweep) {
        console.log(formatSweep(sweepSizes(options, sizes)));
        return;
    }
    const plays = playStrategies(options);
    showProgress("");
    for (const [strategy, results] of plays) {
        console.log(`${strategy}, means of ${results.length} seeds\n${formatClasses(results)}\n${formatServices(results)}\n`);
    }
    compareStrategies(plays).forEach((differences, strategy) =>
        console.log(`${strategy} against product, paired by seed\n${formatDifferences(differences)}\n`));
    if (json !== undefined) {
        writeFileSync(json, JSON.stringify(Object.fromEntries(plays)));
    }
    if (folder !== undefined) {
        await writePlots(folder, scenario, plays);
    }
}

async function writePlots(folder: string, { name }: Scenario, plays: PlaysByStrategy): Promise<void> {
    mkdirSync(folder, { recursive: true });
    writeFileSync(join(folder, `${name}-worth.svg`), await plotWorth(name, plays));
    writeFileSync(join(folder, `${name}-outcomes.svg`), await plotOutcomes(name, plays));
}

/** Reads the plays of the first strategy in a file that `--json` wrote. */
function readPlays(file: string): readonly PlayResult[] {
    const [plays = []] = Object.values(JSON.parse(readFileSync(file, "utf8")) as Record<string, PlayResult[]>);
    return plays;
}

const parsed = parseExperimentArguments(process.argv);
switch (parsed.kind) {
    case ExperimentArgumentsKind.HelpPrinted:
        break;
    case ExperimentArgumentsKind.Invalid:
        process.stderr.write(`experiment: ${parsed.problem}\n`);
        process.exitCode = ExitCode.Usage;
        break;
    case ExperimentArgumentsKind.Run:
        process.exitCode = await run(parsed.settings);
}
