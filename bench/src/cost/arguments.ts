/**
 * Command line of the cost benchmark.
 */
import { cac } from "cac";

export interface CostArguments {
    readonly program: string;
    /** Program that is measured in the same run, for the ratio of the costs. */
    readonly baseline: string | undefined;
    readonly hosts: number;
    readonly callsPerHost: number;
    /** Flags of Node.js for both programs. */
    readonly nodeFlags: readonly string[];
}

export enum CostArgumentsKind {
    Run = "run",
    HelpPrinted = "help-printed",
    Invalid = "invalid",
}

export type CostArgumentsResult =
    | { readonly kind: CostArgumentsKind.Run; readonly settings: CostArguments }
    | { readonly kind: CostArgumentsKind.HelpPrinted }
    | { readonly kind: CostArgumentsKind.Invalid; readonly problem: string };

const defaultHosts = 6;
const defaultCallsPerHost = 200;
/** Limits the number of processes that a run starts. */
const maxHosts = 60;
const maxCallsPerHost = 100_000;

/** Parses a command line as in `process.argv`. */
export function parseCostArguments(argv: readonly string[]): CostArgumentsResult {
    const program = cac("cost");
    program.usage("[options]");
    program.option("--program <file>", "Built sidecar to measure", { default: "dist/bilberrycroft-sidecar.cjs" });
    program.option("--baseline <file>", "Built sidecar to compare with");
    program.option("--hosts <n>", `Hosts, 2 to ${maxHosts}`, { default: defaultHosts });
    program.option("--calls <n>", "Calls that each host makes", { default: defaultCallsPerHost });
    program.option("--node-flags <flags>", "Flags of Node.js, separated by spaces", { default: "" });
    program.help();
    const { options } = program.parse([...argv], { run: false });
    if (options.help === true) {
        return { kind: CostArgumentsKind.HelpPrinted };
    }
    const hosts = Number(options.hosts);
    const callsPerHost = Number(options.calls);
    if (!isIntegerBetween(hosts, 2, maxHosts)) {
        return { kind: CostArgumentsKind.Invalid, problem: `--hosts must be an integer from 2 to ${maxHosts}` };
    }
    if (!isIntegerBetween(callsPerHost, 1, maxCallsPerHost)) {
        return { kind: CostArgumentsKind.Invalid, problem: `--calls must be an integer from 1 to ${maxCallsPerHost}` };
    }
    return {
        kind: CostArgumentsKind.Run,
        settings: {
            program: String(options.program),
            baseline: options.baseline === undefined ? undefined : String(options.baseline),
            hosts,
            callsPerHost,
            nodeFlags: String(options.nodeFlags).split(" ").filter(flag => flag !== ""),
        },
    };
}

function isIntegerBetween(value: number, minimum: number, maximum: number): boolean {
    return Number.isInteger(value) && value >= minimum && value <= maximum;
}
