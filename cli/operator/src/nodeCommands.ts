/**
 * Commands that query nodes: status, nodes, explain, metrics and drain, and the wait of apply and undo.
 */
import { assertNever } from "@bilberrycroft/core.errors";
import type { Store } from "@bilberrycroft/protocol.store";
import { reportRecordFailure } from "./configurationCommands";
import { ExplainOutcomeKind, explainRules } from "./explaining";
import { formatExplanation, formatNodeStatus, formatStatus } from "./formatting";
import { type NodeResponse, NodeResponseKind, type NodeClient } from "./nodeClient";
import { readCurrent, RecordOutcomeKind, type RecordOutcome } from "./records";
import { type CommandResult, createFailureResult, ExitCode } from "./results";
import { type StatusView } from "./statusView";
import { fetchStatus, type WaitOutcome, WaitOutcomeKind } from "./waiting";

/** Shows the state of the accepted version across the mesh. */
export async function showStatus(store: Store, nodes: readonly NodeClient[]): Promise<CommandResult> {
    const { current, view } = await readStatus(store, nodes);
    return { exitCode: toExitCode(current, view), data: view, lines: [...formatStatus(view), ...formatStore(current)] };
}

/** Lists every node in the combined membership tables. */
export async function listNodes(store: Store, nodes: readonly NodeClient[]): Promise<CommandResult> {
    const { current, view } = await readStatus(store, nodes);
    const lines = [
        ...view.nodes.map(node => `${formatNodeStatus(node)}; control ${node.controlAddress}`),
        ...view.dead.map(node => `${node}: marked as dead and not replaced`),
        ...view.unanswered.map(({ address, reason }) => `No response from ${address}: ${reason}`),
        ...formatStore(current),
    ];
    return { exitCode: toExitCode(current, view), data: view, lines };
}

/** Shows the origin of rules and the nodes where they are in force. */
export async function explain(store: Store, nodes: readonly NodeClient[], query: string): Promise<CommandResult> {
    const outcome = await explainRules(store, query, accepted => fetchStatus(accepted, nodes));
    switch (outcome.kind) {
        case ExplainOutcomeKind.Explained:
            return { exitCode: ExitCode.Done, data: outcome, lines: outcome.explanations.flatMap(formatExplanation) };
        case ExplainOutcomeKind.NoSuchRule:
            return createFailureResult(ExitCode.Refused, outcome.kind, `Version ${outcome.version} has no rule "${query}".`);
        case ExplainOutcomeKind.NothingAccepted:
            return createFailureResult(ExitCode.Refused, outcome.kind, "No version has been accepted yet.");
        case RecordOutcomeKind.Broken:
        case RecordOutcomeKind.Unavailable:
            return reportRecordFailure(outcome);
        default:
            return assertNever(outcome);
    }
}

/** Prints the metrics of each node in the Prometheus text format. */
export async function showMetrics(nodes: readonly NodeClient[]): Promise<CommandResult> {
    const responses = await Promise.all(nodes.map(node => node.metrics()));
    const failed = responses.filter(response => response.kind === NodeResponseKind.Unreachable);
    return {
        exitCode: failed.length === 0 ? ExitCode.Done : ExitCode.Refused,
        data: { kind: "metrics", answers: responses },
        lines: responses.flatMap(response => response.kind === NodeResponseKind.Responded
            ? [`# node ${response.address}`, response.report.trimEnd()]
            : [describeUnreachable(response)]),
    };
}

/** Requests a graceful shutdown of one node. `target` is a control address, a node or a host. */
export async function drainNode(
    nodes: readonly NodeClient[],
    target: string,
    connectNode: (address: string) => NodeClient,
): Promise<CommandResult> {
    const address = target.includes(":") ? target : await findControlAddress(nodes, target);
    if (address === undefined) {
        return createFailureResult(ExitCode.Refused, "no such node", `No responding node lists a running node "${target}".`);
    }
    const response = await connectNode(address).drain();
    return response.kind === NodeResponseKind.Responded
        ? { exitCode: ExitCode.Done, data: response, lines: [`${response.report.node}: ${response.report.state}`] }
        : { exitCode: ExitCode.Refused, data: response, lines: [describeUnreachable(response)] };
}

/** Appends the result of waiting to the result of an update. */
export function reportWait(update: CommandResult, version: number, outcome: WaitOutcome): CommandResult {
    const messages: Readonly<Record<WaitOutcomeKind, string>> = {
        [WaitOutcomeKind.InForce]: `Version ${version} or a later one is in force on every node with known state.`,
        [WaitOutcomeKind.Refused]: `Version ${version} is refused by some nodes and in force on every other node with known state.`,
        [WaitOutcomeKind.TimedOut]: `Timed out before version ${version} was in force on every node.`,
        [WaitOutcomeKind.Interrupted]: `Interrupted. Version ${version} stays accepted. Last known state:`,
    };
    return {
        exitCode: outcome.kind === WaitOutcomeKind.InForce ? ExitCode.Done : ExitCode.NotInForce,
        data: { update: update.data, wait: outcome },
        lines: [...update.lines, messages[outcome.kind], ...formatStatus(outcome.view)],
    };
}

async function readStatus(
    store: Store,
    nodes: readonly NodeClient[],
): Promise<{ readonly current: RecordOutcome; readonly view: StatusView }> {
    const current = await readCurrent(store);
    const accepted = current.kind === RecordOutcomeKind.Found ? current.snapshot : undefined;
    const head = accepted === undefined ? undefined : { version: accepted.version, digest: accepted.digest };
    return { current, view: await fetchStatus(head, nodes) };
}

/** The view is always printed; the exit code indicates that part of it is missing. */
function toExitCode(current: RecordOutcome, view: StatusView): ExitCode {
    if (current.kind === RecordOutcomeKind.Unavailable) {
        return ExitCode.StoreUnavailable;
    }
    return current.kind === RecordOutcomeKind.Broken || view.answeredBy.length === 0 ? ExitCode.Refused : ExitCode.Done;
}

function formatStore(current: RecordOutcome): readonly string[] {
    switch (current.kind) {
        case RecordOutcomeKind.Found:
            return [];
        case RecordOutcomeKind.Absent:
            return ["The store has no accepted version."];
        default:
            return reportRecordFailure(current).lines;
    }
}

async function findControlAddress(nodes: readonly NodeClient[], name: string): Promise<string | undefined> {
    const view = await fetchStatus(undefined, nodes);
    return view.nodes.find(node => node.node === name || node.host === name)?.controlAddress;
}

function describeUnreachable(response: Extract<NodeResponse<unknown>, { kind: NodeResponseKind.Unreachable }>): string {
    return `No response from ${response.address}: ${response.reason}`;
}
