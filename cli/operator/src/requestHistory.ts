/**
 * Reconstructs the history of one request from the log files of several nodes.
 *
 * The result contains the log lines of the request and of its inner calls. For each node that logged one, it also
 * contains the state of the node before the first of these lines: the newest line of each event in `nodeStateEvents`.
 */
import { isNumber, isRecord, isText, parseJson, type UncheckedFields } from "@bilberrycroft/core.json";
import { type CommandResult, ExitCode } from "./results";

export interface LogFile {
    readonly name: string;
    readonly text: string;
}

export interface LogLine {
    /** Wall-clock time in ISO 8601. The clocks of different nodes may differ. */
    readonly time: string;
    /** Time since the start of the process, on a monotonic clock. */
    readonly uptimeMs: number;
    readonly node: string;
    readonly event: string;
    readonly fields: UncheckedFields;
}

/** Events that describe the state of a node rather than a request. */
const nodeStateEvents: ReadonlySet<string> = new Set([
    "configuration-activated",
    "nodes-changed",
    "relay-role",
    "store-lost",
    "store-regained",
    "target-availability",
    "started",
    "stopping",
]);

/** Fields that every line has. */
const commonFields: ReadonlySet<string> = new Set(["time", "uptimeMs", "level", "node", "event"]);

/** Shows the state of each node before its first line of the request, then the lines of the request in time order. */
export function explainRequest(id: string, files: readonly LogFile[]): CommandResult {
    const linesByNode = new Map<string, LogLine[]>();
    for (const line of files.flatMap(({ text }) => text.split("\n").flatMap(parseLine))) {
        const nodeLines = linesByNode.get(line.node) ?? [];
        nodeLines.push(line);
        linesByNode.set(line.node, nodeLines);
    }
    const requestLines: LogLine[] = [];
    const priorState: LogLine[] = [];
    for (const lines of linesByNode.values()) {
        const matching = lines.filter(line => isPartOfRequest(id, line));
        const [first] = matching;
        if (first !== undefined) {
            requestLines.push(...matching);
            priorState.push(...findNodeStateBefore(lines, first));
        }
    }
    if (requestLines.length === 0) {
        const count = files.length === 1 ? "1 file" : `${files.length} files`;
        return {
            exitCode: ExitCode.Refused,
            data: { id, believed: [], lines: [] },
            lines: [
                `no log line for request ${id} in ${count}`,
                "    Successful calls are sampled and each kind of line is rate-limited; \"dropped\" counts the omitted lines.",
            ],
        };
    }
    requestLines.sort((left, right) => left.time.localeCompare(right.time));
    // `believed` is the JSON name of the node state before the request.
    return {
        exitCode: ExitCode.Done,
        data: { id, believed: priorState, lines: requestLines },
        lines: ["node state before the request", ...priorState.map(formatLine), `request ${id}`, ...requestLines.map(formatLine)],
    };
}

/** Returns the newest line of each node state event before a line of the same node. */
function findNodeStateBefore(lines: readonly LogLine[], before: LogLine): LogLine[] {
    const newestByEvent = new Map<string, LogLine>();
    for (const line of lines.slice(0, lines.indexOf(before))) {
        if (line.event === "started") {
            // The state of an earlier process does not carry over to this one.
            newestByEvent.clear();
        }
        if (nodeStateEvents.has(line.event)) {
            newestByEvent.set(line.event, line);
        }
    }
    return [...newestByEvent.values()];
}

function isPartOfRequest(id: string, { fields }: LogLine): boolean {
    return fields.call === id || (isText(fields.call) && fields.call.startsWith(`${id}.`));
}

/** Skips text before the JSON object, such as the prefix of a log collector. Ignores lines that are not log lines. */
function parseLine(text: string): LogLine[] {
    const value = parseJson(text.slice(Math.max(0, text.indexOf("{"))));
    if (!isRecord(value)) {
        return [];
    }
    const { time, uptimeMs, node, event } = value;
    const eventFields = Object.entries(value).filter(([name]) => !commonFields.has(name));
    return isText(time) && isNumber(uptimeMs) && isText(node) && isText(event)
        ? [{ time, uptimeMs, node, event, fields: Object.fromEntries(eventFields) }]
        : [];
}

function formatLine({ time, node, event, fields }: LogLine): string {
    const formattedFields = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
    return `    ${time} ${node} ${event} ${formattedFields}`;
}
