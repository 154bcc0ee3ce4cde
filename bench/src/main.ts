/**
 * Entry point of `npm run bench`: measures this version and the baseline proxy on loopback, prints tables and writes
 * JSON reports.
 */
import { loadavg } from "node:os";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { deployments, type DeploymentShape } from "./deployments";
import { ArgumentResultKind, type BenchArguments, parseBenchArguments } from "./harness/arguments";
import { runCase, warmUp } from "./harness/cases";
import { type TargetRunTimes, startFleet } from "./harness/fleet";
import { ProcessSet } from "./harness/processes";
import { publishReport } from "./report";

enum ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Interrupted = 130,
}

/** Limits the whole run, so that a hanging benchmark does not occupy the machine. */
const maxRunMs: Milliseconds = 1_200_000;
/** Longer than the 5 ms of the deployments, at which one machine cannot offer three times the capacity of a service. */
const targetRunTimes: Readonly<Record<string, TargetRunTimes>> = {
    kyushu: { shortMs: 50, longMs: 1_000 },
    dakar: { shortMs: 100, longMs: 1_000 },
};

async function runDeployment(shape: DeploymentShape, settings: BenchArguments): Promise<void> {
    const processes = new ProcessSet(description => fail(`child process failed: ${description}`));
    const onExit = (): void => processes.killAll();
    process.once("exit", onExit);
    const runTimes = targetRunTimes[shape.name] ?? { shortMs: shape.shortMs, longMs: shape.longMs };
    const { seed, quick } = settings;
    const fleet = await startFleet({ shape, runTimes, processes, seed });
    await warmUp({ fleet, shape, runTimes, seed, quick });
    for (const letter of settings.cases) {
        const load = loadavg()[0] ?? 0;
        const { description, metrics } = await runCase(letter, { fleet, shape, runTimes, seed, quick });
        const run = `seed ${seed}, ${quick ? "quick, " : ""}load average ${load.toFixed(1)} at the start`;
        await publishReport({ name: `${shape.name}-${letter}`, description: `${description}; ${run}`, metrics });
    }
    processes.killAll();
    process.off("exit", onExit);
}

async function run(settings: BenchArguments): Promise<void> {
    const shapes = settings.deployments.map(name => deployments[name]).filter(shape => shape !== undefined);
    if (settings.quick) {
        // Quick runs only check the benchmark. The deployments run concurrently and distort each other's results.
        await Promise.all(shapes.map(shape => runDeployment(shape, settings)));
        return;
    }
    for (const shape of shapes) {
        await runDeployment(shape, settings);
    }
}

function fail(message: string): void {
    process.stderr.write(`bench: ${message}\n`);
    process.exit(ExitCode.Failed);
}

process.on("SIGINT", () => process.exit(ExitCode.Interrupted));
process.on("SIGTERM", () => process.exit(ExitCode.Interrupted));
process.on("uncaughtException", error => fail(error.stack ?? error.message));
process.on("unhandledRejection", error => fail(String(error)));

const argumentResult = parseBenchArguments(process.argv);
switch (argumentResult.kind) {
    case ArgumentResultKind.HelpPrinted:
        break;
    case ArgumentResultKind.Invalid:
        process.stderr.write(argumentResult.problems.map(problem => `bench: ${problem}\n`).join(""));
        process.exitCode = ExitCode.Usage;
        break;
    case ArgumentResultKind.Run:
        setTimeout(() => fail("maximum run time exceeded"), maxRunMs);
        await run(argumentResult.settings);
        process.exit(ExitCode.Done);
}
