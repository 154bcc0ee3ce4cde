/**
 * `capacity` command: measures the resource use of one node, one zone reader and the store at several fleet sizes.
 * `docs/CAPACITY.md` lists the figures and the command that produced each.
 */
import { cac } from "cac";
import { runCalls } from "./calls";
import { runDecisions } from "./decisions";
import { runFleet } from "./fleetRun";
import { killProcessesAtExit } from "./processes";

const maxFleetSize = 160;

killProcessesAtExit();
const program = cac("capacity");
program
    .command("fleet", "Measure fleets of node processes on loopback")
    .option("--sizes <list>", "Numbers of nodes, at most 160 each", { default: "10,40,160" })
    .option("--idle <seconds>", "Length of the idle period in seconds", { default: 30 })
    .option("--changes <n>", "Number of changes of the rules file", { default: 24 })
    .option("--spacing <ms>", "Time between two changes in milliseconds", { default: 2_000 })
    .option("--node-flags <flags>", "Node.js flags for each process, separated by spaces", { default: "" })
    .option("--no-failures", "Skip the failure measurements")
    .action(async options => {
        for (const size of parseNumbers(options.sizes).filter(value => value <= maxFleetSize)) {
            await runFleet({
                size,
                idleSeconds: Number(options.idle),
                changeCount: Number(options.changes),
                changeIntervalMs: Number(options.spacing),
                nodeFlags: parseFlags(options.nodeFlags),
                includeFailures: options.failures,
            });
        }
        process.exit(0);
    });
program
    .command("decisions", "Measure the control decisions alone, in one process on a manual clock")
    .option("--sizes <list>", "Numbers of nodes", { default: "40,160,670" })
    .option("--zones <n>", "Number of zones", { default: 10 })
    .option("--parts <list>", "Parts to run, separated by commas", { default: "steady,hosts,regions" })
    .action(options => {
        const parts = String(options.parts).split(",");
        parseNumbers(options.sizes).forEach(size => runDecisions(size, Number(options.zones), parts));
    });
program
    .command("calls", "Measure calls through one node process with one target process")
    .option("--rates <list>", "Calls per second", { default: "50,200,400" })
    .option("--once <list>", "Calls per second to the route with repeat=no", { default: "5,20,80" })
    .option("--seconds <s>", "Duration of each rate in seconds", { default: 20 })
    .option("--node-flags <flags>", "Node.js flags for the node process, separated by spaces", { default: "" })
    .action(async options => {
        await runCalls({
            ratesPerSecond: parseNumbers(options.rates),
            nonRepeatableRatesPerSecond: parseNumbers(options.once),
            secondsPerRate: Number(options.seconds),
            nodeFlags: parseFlags(options.nodeFlags),
        });
        process.exit(0);
    });
program.help();
program.parse(process.argv, { run: false });
await program.runMatchedCommand();

function parseNumbers(list: unknown): readonly number[] {
    return String(list).split(",").map(Number).filter(value => value > 0);
}

function parseFlags(flags: unknown): readonly string[] {
    return String(flags).split(" ").filter(flag => flag !== "");
}
