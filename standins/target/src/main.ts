/**
 * Entry point of `bilberrycroft-target`. On SIGTERM or SIGINT it drains and exits with code 0. A simulated crash exits
 * with code 70.
 */
import { createLogger } from "@bilberrycroft/core.logger";
import { CommandLineKind } from "@bilberrycroft/standins.store";
import { parseTargetCommand } from "./program";
import type { TargetSettings } from "./settings";
import { startTargetStandin } from "./target";

const usageExitCode = 2;
const crashExitCode = 70;
const logger = createLogger("target");

async function run(settings: TargetSettings): Promise<void> {
    const onCrash = (): void => {
        logger.error("Crashing on request.");
        process.exit(crashExitCode);
    };
    const target = await startTargetStandin({ ...settings, onCrash });
    logger.info("Listening.", { id: target.id, address: target.address });
    const stop = async (): Promise<void> => {
        logger.info("Draining.");
        await target.drain();
        await target.close();
        logger.info("Drained.");
    };
    process.once("SIGTERM", () => void stop());
    process.once("SIGINT", () => void stop());
}

const command = parseTargetCommand(process.argv);
switch (command.kind) {
    case CommandLineKind.Printed:
        break;
    case CommandLineKind.Refused:
        command.problems.forEach(problem => logger.error(problem));
        process.exitCode = usageExitCode;
        break;
    case CommandLineKind.Run:
        run(command.settings).catch((error: Error) => {
            logger.error(error.message);
            process.exitCode = usageExitCode;
        });
}
