/**
 * Entry point of `bilberrycroft-store`. SIGTERM and SIGINT end it with code 0.
 */
import { createLogger } from "@bilberrycroft/core.logger";
import { parseStoreCommand, runStoreStandin, StoreCommandKind, type StoreSettings } from "./program";

const usageExitCode = 2;
const logger = createLogger("store");

async function run(settings: StoreSettings): Promise<void> {
    const standin = await runStoreStandin(settings);
    const stop = (): void => {
        logger.info("Stopping.");
        void standin.close();
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
}

const command = parseStoreCommand(process.argv);
switch (command.kind) {
    case StoreCommandKind.Printed:
        break;
    case StoreCommandKind.Refused:
        command.problems.forEach(problem => logger.error(problem));
        process.exitCode = usageExitCode;
        break;
    case StoreCommandKind.Run:
        run(command.settings).catch((error: Error) => {
            logger.error(error.message);
            process.exitCode = usageExitCode;
        });
}
