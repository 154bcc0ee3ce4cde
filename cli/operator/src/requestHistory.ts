/**
 * What happened to one request, from the log lines of several nodes.
 *
 * Shown are the lines that name the request or a call made in the course of it, and for each node that wrote one the
 * newest line of each kind that tells what the node believed by then.
 */
import { isNumber, isRecord, isText, parseJson, type UncheckedFields } from "@bilberrycroft/core.json";
import { type CommandResult, ExitCode } from "./results";

/** Text of one log file. */
export interface LogFile {
    readonly name: string;
    readonly text: string;
}

/** One line of a log. */
export interface LogLine {
    /** Wall time in ISO 8601; its clock may differ between nodes. */
    readonly time: string;
    /** Time since the start of the process, on a clock that never steps. */
    readonly uptimeMs: number;
    readonly node: string;
    readonly event: string;
    readonly fields: UncheckedFields;
}

/** Events that tell what a node believes, whatever the request. */
const beliefs: ReadonlySet<string> = new Set([
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

/** Shows the lines of a request in order, with what each node believed before its first line. */
export function explainRequest(id: string, files: readonly LogFile[]): CommandResult {
    const nodes = new Map<string, LogLine[]>();
    for (const line of files.flatMap(({ text }) => text.split("\n").flatMap(parseLine))) {
        const known = nodes.get(line.node) ?? [];
        known.push(line);
        nodes.set(line.node, known);
    }
    const ofRequest: LogLine[] = [];
    const believed: LogLine[] = [];
    for (const lines of nodes.values()) {
        const named = lines.filter(line => belongsTo(id, line));
        const [first] = named;
        if (first !== undefined) {
            ofRequest.push(...named);
            believed.push(...findBeliefs(lines, first));
        }
    }
    if (ofRequest.length === 0) {
        const count = files.length === 1 ? "1 file" : `${files.length} files`;
        return {
            exitCode: ExitCode.Refused,
            data: { id, believed: [], lines: [] },
            lines: [
                `no line names ${id} in ${count}`,
                "    Ordinary successes are sampled, and each kind of line is bounded: \"dropped\" counts what was left out.",
            ],
        };
    }
    ofRequest.sort((left, right) => left.time.localeCompare(right.time));
    return {
        exitCode: ExitCode.Done,
        data: { id, believed, lines: ofRequest },
        lines: ["believed before", ...believed.map(formatLine), `request ${id}`, ...ofRequest.map(formatLine)],
    };
}

/** The newest line of each kind of belief before a line of the same node. */
function findBeliefs(lines: readonly LogLine[], before: LogLine): LogLine[] {
    const newest = new Map<string, LogLine>();
    for (const line of lines.slice(0, lines.indexOf(before))) {
        if (line.event === "started") {
            // An earlier process of the node believed what this one does not know.
            newest.clear();
        }
        if (beliefs.has(line.event)) {
            newest.set(line.event, line);
        }
    }
    return [...newest.values()];
}

function belongsTo(id: string, { fields }: LogLine): boolean {
    return fields.call === id || (isText(fields.call) && fields.call.startsWith(`${id}.`));
}

/** Text before the JSON object, such as a prefix of a log collector, is passed over; other lines are no log lines. */
function parseLine(text: string): LogLine[] {
    const value = parseJson(text.slice(Math.max(0, text.indexOf("{"))));
    if (!isRecord(value)) {
        return [];
    }
    const { time, uptimeMs, node, event } = value;
    const inputs = Object.entries(value).filter(([name]) => !commonFields.has(name));
    return isText(time) && isNumber(uptimeMs) && isText(node) && isText(event)
        ? [{ time, uptimeMs, node, event, fields: Object.fromEntries(inputs) }]
        : [];
}

function formatLine({ time, node, event, fields }: LogLine): string {
    const inputs = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
    return `    ${time} ${node} ${event} ${inputs}`;
}
