/**
 * Entry point of `bilberrycroft-store`. On SIGTERM or SIGINT it exits with code 0.
 */
import { createLogger } from "@bilberrycroft/core.logger";
import { CommandLineKind } from "./commandLine";
import { parseStoreCommand, type StoreSettings } from "./program";
import { startStoreStandin } from "./server";

const usageExitCode = 2;
const logger = createLogger("store");

async function run(settings: StoreSettings): Promise<void> {
    const standin = await startStoreStandin(settings);
    logger.info("Listening.", { address: standin.address });
    const stop = (): void => {
        logger.info("Stopping.");
        void standin.close();
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
}

const command = parseStoreCommand(process.argv);
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
