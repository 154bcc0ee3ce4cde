/**
 * Settings and command line of `bilberrycroft-store`.
 */
import { z } from "zod";
import packageManifest from "../package.json";
import { type CommandLine, parseCommandLine } from "./commandLine";
import { defaultMaxConnections } from "./server";

const maxPort = 65_535;

export const storeSettingsSchema = z.strictObject({
    host: z.coerce.string().min(1).default("127.0.0.1"),
    port: z.number().int().min(0).max(maxPort).default(7_500),
    maxConnections: z.number().int().min(1).default(defaultMaxConnections),
});

/** Settings after defaults. */
export type StoreSettings = z.output<typeof storeSettingsSchema>;

/** Parses the command line of `bilberrycroft-store`. */
export function parseStoreCommand(argv: readonly string[]): CommandLine<StoreSettings> {
    return parseCommandLine({
        name: "bilberrycroft-store",
        version: packageManifest.version,
        schema: storeSettingsSchema,
        argv,
        flags: [
            { setting: "host", usage: "--host <address>", description: "Address to listen on (default: 127.0.0.1)" },
            { setting: "port", usage: "--port <port>", description: "Port, 0 for any free port (default: 7500)" },
            {
                setting: "maxConnections",
                usage: "--max-connections <n>",
                description: `Maximum concurrent connections (default: ${defaultMaxConnections})`,
            },
        ],
    });
}
