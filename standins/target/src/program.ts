/**
 * Command line of `bilberrycroft-target`. Settings without a flag can be given in the settings file.
 */
import { type CommandLine, parseCommandLine } from "@bilberrycroft/standins.store";
import packageManifest from "../package.json";
import { type TargetSettings, targetSettingsSchema } from "./settings";

/** Parses the command line of `bilberrycroft-target`. */
export function parseTargetCommand(argv: readonly string[]): CommandLine<TargetSettings> {
    return parseCommandLine({
        name: "bilberrycroft-target",
        version: packageManifest.version,
        schema: targetSettingsSchema,
        argv,
        flags: [
            { setting: "id", usage: "--id <id>", description: "Identifier, unique in the mesh" },
            { setting: "service", usage: "--service <name>", description: "Service whose calls the target serves" },
            { setting: "host", usage: "--host <address>", description: "Address to listen on (default: 127.0.0.1)" },
            { setting: "port", usage: "--port <port>", description: "Port, 0 for any free port (default: 0)" },
            { setting: "slots", usage: "--slots <n>", description: "Maximum concurrent calls (default: 6)" },
            { setting: "connections", usage: "--connections <n>", description: "Maximum concurrent connections (default: 100)" },
            { setting: "seed", usage: "--seed <n>", description: "Seed of the run times (default: 1)" },
            { setting: "nodeControl", usage: "--node-control <address>", description: "Control listener of the node on this host" },
            { setting: "nodeCalls", usage: "--node-calls <address>", description: "Call listener of the node on this host" },
            { setting: "crashOn", usage: "--crash-on <value>", description: "Value of the crash header that crashes the process" },
        ],
    });
}
