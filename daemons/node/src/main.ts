/**
 * `bilberrycroft-node`: reads the settings, runs one node and shuts it down gracefully on SIGTERM or SIGINT.
 */
import { createLogger } from "@bilberrycroft/core.logger";
import { formatSettingsProblem, readSettingsFile, SettingsOutcomeKind } from "@bilberrycroft/core.settings";
import { cac } from "cac";
import { startNode } from "./node";
import { type NodeSettings, nodeSettingsSchema } from "./settings";

const version = "0.1.0";

enum ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
}

const program = cac("bilberrycroft-node");
program
    .command("", "Run the node of this host")
    .option("--settings <file>", "Settings file in YAML (required)")
    .option("--check", "Check the settings and exit")
    .action(runCommand);
program.help();
program.version(version);

async function runCommand(options: { readonly settings?: string; readonly check?: boolean }): Promise<void> {
    if (options.settings === undefined) {
        fail("--settings <file> is required; see docs/settings.md", ExitCode.Usage);
        return;
    }
    const outcome = readSettingsFile(options.settings, nodeSettingsSchema);
    if (outcome.kind === SettingsOutcomeKind.Refused) {
        fail(outcome.problems.map(formatSettingsProblem).join("\n"), ExitCode.Usage);
        return;
    }
    if (options.check === true) {
        process.exitCode = ExitCode.Done;
        return;
    }
    await runNode(outcome.settings);
}

async function runNode(settings: NodeSettings): Promise<void> {
    const logger = createLogger("node", settings.logLevel);
    const node = await startNode({ settings });
    logger.info("Node started.", { control: node.controlAddress, calls: node.callAddress, zone: settings.zone });
    const stop = (signal: string): void => {
        logger.info("Node is shutting down.", { signal });
        void node.stop();
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    await node.stopped;
    logger.info("Node stopped.");
    process.exit(ExitCode.Done);
}

function fail(message: string, exitCode: ExitCode): void {
    process.stderr.write(`bilberrycroft-node: ${message}\n`);
    process.exitCode = exitCode;
}

function exitOnUncaughtError(error: unknown): void {
    const { message, stack, hint } = error as Error & { readonly hint?: string };
    process.stderr.write(`bilberrycroft-node: ${message}\n${hint === undefined ? "" : `hint: ${hint}\n`}${stack ?? ""}\n`);
    process.exit(ExitCode.Failed);
}

process.on("uncaughtException", exitOnUncaughtError);
process.on("unhandledRejection", exitOnUncaughtError);

try {
    program.parse(process.argv, { run: false });
    await program.runMatchedCommand();
}
catch (error) {
    fail((error as Error).message, ExitCode.Usage);
    // If only the control listener fails to bind, the call listener and timers would keep the process running.
    process.exit();
}
