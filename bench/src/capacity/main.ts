/**
 * `capacity`: measures what one node, one zone reader and the store use at several sizes. `docs/CAPACITY.md` lists the
 * figures and the command that gave each.
 */
import { cac } from "cac";
import { runCalls } from "./calls";
import { runDecisions } from "./decisions";
import { runFleet } from "./fleetRun";
import { endProcessesAtExit } from "./processes";

const largestFleet = 160;

endProcessesAtExit();
const program = cac("capacity");
program
    .command("fleet", "Measure fleets of node processes on loopback")
    .option("--sizes <list>", "Numbers of nodes, at most 160 each", { default: "10,40,160" })
    .option("--idle <seconds>", "Length of the idle period", { default: 30 })
    .option("--changes <n>", "Changes of the rules file", { default: 24 })
    .option("--spacing <ms>", "Time between two changes", { default: 2_000 })
    .option("--node-flags <flags>", "Flags of Node for each process, separated by spaces", { default: "" })
    .option("--no-failures", "Skip the failures")
    .action(async options => {
        for (const size of parseNumbers(options.sizes).filter(value => value <= largestFleet)) {
            await runFleet({
                size,
                idleSeconds: Number(options.idle),
                changes: Number(options.changes),
                changeSpacingMs: Number(options.spacing),
                nodeFlags: parseFlags(options.nodeFlags),
                failures: options.failures,
            });
        }
        process.exit(0);
    });
program
    .command("decisions", "Measure the control decisions alone, in one process on a manual clock")
    .option("--sizes <list>", "Numbers of nodes", { default: "40,160,670" })
    .option("--zones <n>", "Number of zones", { default: 10 })
    .option("--parts <list>", "Parts of the run", { default: "steady,hosts,regions" })
    .action(options => {
        const parts = String(options.parts).split(",");
        parseNumbers(options.sizes).forEach(size => runDecisions(size, Number(options.zones), parts));
    });
program
    .command("calls", "Measure calls through one node process with one target process")
    .option("--rates <list>", "Calls a second", { default: "50,200,400" })
    .option("--once <list>", "Rates of calls that may not be repeated", { default: "5,20,80" })
    .option("--seconds <s>", "Length of each rate", { default: 20 })
    .option("--node-flags <flags>", "Flags of Node for the node process, separated by spaces", { default: "" })
    .action(async options => {
        await runCalls({
            rates: parseNumbers(options.rates),
            onceRates: parseNumbers(options.once),
            seconds: Number(options.seconds),
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
