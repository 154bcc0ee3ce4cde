/**
 * Entry point of `npm run cost`: measures the processor time and memory of sidecar processes under a fixed load.
 *
 * Real processes run on loopback addresses beside the stand-ins of the platform. Few calls per process show the cost of
 * code that has not been optimized yet, which dominates in a fleet of hundreds of lightly loaded processes.
 */
import { CostArgumentsKind, type CostArguments, parseCostArguments } from "./arguments";
import { type FleetCost, measureFleetCost } from "./fleetCost";

enum ExitCode {
    Done = 0,
    Usage = 2,
}

async function run({ program, baseline, ...load }: CostArguments): Promise<void> {
    const cost = await measureFleetCost({ program, ...load });
    print(program, cost);
    if (baseline !== undefined) {
        const baselineCost = await measureFleetCost({ program: baseline, ...load });
        print(baseline, baselineCost);
        const ratio = cost.callCpuMs / baselineCost.callCpuMs;
        const startRatio = cost.startCpuMs / baselineCost.startCpuMs;
        console.log(`ratio: ${ratio.toFixed(2)} per call, ${startRatio.toFixed(2)} per start`);
    }
}

function print(program: string, { startCpuMs, callCpuMs, memoryMb, calls, failedCalls }: FleetCost): void {
    console.log(`${program}: ${startCpuMs.toFixed(0)} ms of processor time per start, `
        + `${callCpuMs.toFixed(2)} ms per call over both nodes, ${memoryMb.toFixed(0)} MB resident, `
        + `${calls} calls, ${failedCalls} failed`);
}

const result = parseCostArguments(process.argv);
switch (result.kind) {
    case CostArgumentsKind.HelpPrinted:
        break;
    case CostArgumentsKind.Invalid:
        process.stderr.write(`cost: ${result.problem}\n`);
        process.exitCode = ExitCode.Usage;
        break;
    case CostArgumentsKind.Run:
        await run(result.settings);
        process.exit(ExitCode.Done);
}
