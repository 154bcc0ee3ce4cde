/**
 * Command line of `bilberrycroft`. Parses arguments and settings, runs one command and prints its result.
 */
import { type CAC, cac } from "cac";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { SettingsOutcomeKind } from "@bilberrycroft/core.settings";
import type { Store } from "@bilberrycroft/protocol.store";
import { applyRules, type OperatorContext } from "./applying";
import { explainCall, type OperatorFetch } from "./callExplanations";
import {
    checkFile,
    diffFile,
    findAwaitedSnapshot,
    listHistory,
    reportUpdate,
    type RulesFile,
    showVersion,
} from "./configurationCommands";
import { toPrintable } from "./formatting";
import type { NodeClient } from "./nodeClient";
import { drainNode, explain, listNodes, reportWait, showMetrics, showStatus } from "./nodeCommands";
import { explainRequest } from "./requestHistory";
import { type CommandResult, ExitCode, UsageError } from "./results";
import { type OperatorSettings, resolveSettings } from "./settings";
import { undoVersion, type UndoOutcome } from "./undoing";
import { waitForVersion } from "./waiting";

const defaultHistoryLimit = 20;
const millisecondsPerSecond = 1_000;

/** External dependencies of the commands. */
export interface CommandEnvironment {
    readonly clock: Clock;
    /** Aborted when the operator interrupts the command. */
    readonly signal: AbortSignal;
    /** Throws a `UsageError` if the address is invalid. */
    connectStore(address: string): Store;
    /** Throws a `UsageError` if the address is invalid. */
    connectNode(address: string): NodeClient;
    /** Gets JSON from the operators' listener of a node. */
    fetchJson: OperatorFetch;
    /** Reads a UTF-8 file. Throws if the file cannot be read or is not UTF-8. */
    readText(file: string): string;
    createChangeId(): string;
    sleep(duration: Milliseconds): Promise<void>;
    print(text: string): void;
    printError(text: string): void;
}

/** Options as the argument parser returns them. */
type Options = Readonly<Record<string, unknown>>;
type Action = (session: Session, options: Options, argument: string | undefined) => Promise<CommandResult>;

interface Session {
    readonly environment: CommandEnvironment;
    readonly settings: OperatorSettings;
}

/** Runs one command and returns its exit code. */
export async function runCommandLine(argv: readonly string[], environment: CommandEnvironment): Promise<ExitCode> {
    const cli = defineCommands(environment);
    try {
        cli.parse(["node", "bilberrycroft", ...argv], { run: false });
        if (cli.options.help === true) {
            return ExitCode.Done;
        }
        if (cli.matchedCommand === undefined) {
            cli.outputHelp();
            throw new UsageError(argv.length === 0 ? "no command given" : `unknown command ${String(cli.args[0] ?? "")}`);
        }
        const result = await (cli.runMatchedCommand() as Promise<CommandResult>);
        const text = cli.options.json === true ? JSON.stringify(result.data, undefined, 2) : result.lines.join("\n");
        environment.print(cli.options.json === true ? text : toPrintable(text));
        return result.exitCode;
    }
    catch (error) {
        if (error instanceof UsageError || (error instanceof Error && error.name === "CACError")) {
            environment.printError(toPrintable(`bilberrycroft: ${error.message}`));
            return ExitCode.Usage;
        }
        throw error;
    }
}

function defineCommands(environment: CommandEnvironment): CAC {
    const cli = cac("bilberrycroft");
    cli.option("--settings <file>", "Settings file (default: bilberrycroft.yaml if it exists)");
    cli.option("--store <address>", "Address of the platform store");
    cli.option("--node <address>", "Control address of a node to query; may be repeated");
    cli.option("--operator <name>", "Operator name, recorded as the author of new versions");
    cli.option("--json", "Print JSON");
    const define = (usage: string, description: string, action: Action) =>
        cli.command(usage, description).action((...parameters: readonly unknown[]) => {
            const options = parameters.at(-1) as Options;
            const argument = parameters.length > 1 ? parameters[0] : undefined;
            const session = createSession(environment, options);
            return action(session, options, argument === undefined ? undefined : String(argument));
        });
    define("check <file>", "Validate a rules file without applying it", async (session, _options, file) =>
        checkFile(readRulesFile(session, file)));
    define("diff <file>", "Show the rules that a file would change", (session, _options, file) =>
        diffFile(openStore(session), readRulesFile(session, file)));
    define("apply <file>", "Apply a rules file as the next version", applyFile)
        .option("--base <version>", "Fail if the accepted version is not this one")
        .option("--wait", "Wait until the version is in force")
        .option("--wait-seconds <seconds>", "Maximum time to wait");
    define("undo [version]", "Create a new version with the content of an older one", undo)
        .option("--wait", "Wait until the version is in force")
        .option("--wait-seconds <seconds>", "Maximum time to wait");
    define("history [version]", "List versions, or print the text of one version", (session, options, version) =>
        version === undefined
            ? listHistory(openStore(session), parseOptionalWholeNumber("--limit", options.limit) ?? defaultHistoryLimit)
            : showVersion(openStore(session), parseWholeNumber("version", version)))
        .option("--limit <versions>", `Number of versions (default: ${defaultHistoryLimit})`);
    defineNodeCommands(define);
    cli.command("explain-request <id> <...files>", "Show the log entries of one request from log files of nodes")
        .action((id: string, files: readonly string[]) => Promise.resolve(explainRequest(
            String(id),
            files.map(file => readTextFile(environment, String(file))),
        )));
    cli.command("explain-call <host> <path>", "Show where a call would go now and why, without sending it")
        .option("--metrics <address>", "Metrics address of the node that would receive the call")
        .option("--organisation <name>", "Organisation of the call")
        .action((host: string, path: string, options: Options) => {
            const node = toOptionalText(options.metrics);
            if (node === undefined) {
                throw new UsageError("no node given; use --metrics with its metrics address");
            }
            const organisation = toOptionalText(options.organisation);
            return explainCall({ node, host: String(host), path: String(path), organisation }, environment.fetchJson);
        });
    cli.help();
    return cli;
}

function defineNodeCommands(define: (usage: string, description: string, action: Action) => unknown): void {
    define("status", "Show which nodes have the accepted version in force", session =>
        showStatus(openStore(session), connectNodes(session)));
    define("nodes", "List all known nodes", session =>
        listNodes(openStore(session), connectNodes(session)));
    define("explain <rule>", "Show the origin of a rule (name, \"kind name\" or path) and the nodes where it is in force", (session, _options, rule) =>
        explain(openStore(session), connectNodes(session), rule ?? ""));
    define("metrics [address]", "Print the metrics of nodes", (session, _options, address) =>
        showMetrics(address === undefined ? connectNodes(session) : [session.environment.connectNode(address)]));
    define("drain <node>", "Stop a node (control address, node or host) gracefully", (session, _options, target = "") => {
        const nodes = target.includes(":") ? [] : connectNodes(session);
        return drainNode(nodes, target, address => session.environment.connectNode(address));
    });
}

async function applyFile(session: Session, options: Options, file: string | undefined): Promise<CommandResult> {
    const { name, text } = readRulesFile(session, file);
    const base = parseOptionalWholeNumber("--base", options.base);
    return await runUpdate(session, options, name, context => applyRules(context, { text, base }));
}

async function undo(session: Session, options: Options, version: string | undefined): Promise<CommandResult> {
    const restored = version === undefined ? undefined : parseWholeNumber("version", version);
    const name = restored === undefined ? "previous version" : `version ${restored}`;
    return await runUpdate(session, options, name, context => undoVersion(context, restored));
}

async function runUpdate(
    session: Session,
    options: Options,
    name: string,
    run: (context: OperatorContext) => Promise<UndoOutcome>,
): Promise<CommandResult> {
    const { environment, settings } = session;
    const context = createContext(session);
    // Created before the update, so that missing settings are reported before anything is applied.
    const nodes = options.wait === true ? connectNodes(session) : [];
    const outcome = await run(context);
    const result = reportUpdate(name, outcome);
    const snapshot = findAwaitedSnapshot(outcome);
    if (options.wait !== true || snapshot === undefined) {
        return result;
    }
    const waited = await waitForVersion({
        head: { version: snapshot.version, digest: snapshot.digest },
        nodes,
        clock: environment.clock,
        waitMs: settings.waitSeconds * millisecondsPerSecond,
        sleep: duration => environment.sleep(duration),
        signal: environment.signal,
    });
    return reportWait(result, snapshot.version, waited);
}

function createSession(environment: CommandEnvironment, options: Options): Session {
    const nodes = options.node === undefined ? [] : [options.node].flat().map(String);
    const resolved = resolveSettings({
        settings: toOptionalText(options.settings),
        store: toOptionalText(options.store),
        nodes,
        operator: toOptionalText(options.operator),
        waitSeconds: options.waitSeconds === undefined ? undefined : Number(options.waitSeconds),
    });
    if (resolved.kind === SettingsOutcomeKind.Refused) {
        throw new UsageError(`invalid settings\n${resolved.lines.join("\n")}`);
    }
    return { environment, settings: resolved.settings };
}

function createContext(session: Session): OperatorContext {
    const { environment, settings } = session;
    if (settings.operator === undefined) {
        throw new UsageError("no operator name given; set \"operator\" in the settings or use --operator");
    }
    return {
        store: openStore(session),
        clock: environment.clock,
        operator: settings.operator,
        createChangeId: () => environment.createChangeId(),
        sleep: duration => environment.sleep(duration),
    };
}

function openStore({ environment, settings }: Session): Store {
    if (settings.store === undefined) {
        throw new UsageError("no store address given; set \"store\" in the settings or use --store");
    }
    return environment.connectStore(settings.store);
}

function connectNodes({ environment, settings }: Session): readonly NodeClient[] {
    if (settings.nodes.length === 0) {
        throw new UsageError("no node address given; set \"nodes\" in the settings or use --node");
    }
    return settings.nodes.map(address => environment.connectNode(address));
}

function readRulesFile({ environment }: Session, file = ""): RulesFile {
    return readTextFile(environment, file);
}

function readTextFile(environment: CommandEnvironment, file: string): { readonly name: string; readonly text: string } {
    try {
        return { name: file, text: environment.readText(file) };
    }
    catch (error) {
        throw new UsageError(`cannot read ${file}: ${error instanceof Error ? error.message : String(error)}`);
    }
}

function toOptionalText(option: unknown): string | undefined {
    return option === undefined ? undefined : String(option);
}

function parseOptionalWholeNumber(name: string, option: unknown): number | undefined {
    return option === undefined ? undefined : parseWholeNumber(name, String(option));
}

function parseWholeNumber(name: string, text: string): number {
    if (!/^[0-9]{1,15}$/.test(text)) {
        throw new UsageError(`${name} must be a whole number, not "${text}"`);
    }
    return Number(text);
}
