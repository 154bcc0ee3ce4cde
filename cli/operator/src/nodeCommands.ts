/**
 * Commands that ask nodes: status, nodes, explain, metrics, drain, and the wait of apply and undo.
 */
import { assertNever } from "@bilberrycroft/core.errors";
import type { Store } from "@bilberrycroft/protocol.store";
import { reportRecordFailure } from "./configurationCommands";
import { ExplainOutcomeKind, explainRules } from "./explaining";
import { formatExplanation, formatStanding, formatStatus } from "./formatting";
import { type NodeAnswer, NodeAnswerKind, type NodeClient } from "./nodeClient";
import { readCurrent, RecordOutcomeKind, type RecordOutcome } from "./records";
import { type CommandResult, describeFailure, ExitCode } from "./results";
import { type StatusView } from "./statusView";
import { gatherStatus, type WaitOutcome, WaitOutcomeKind } from "./waiting";

/** The state of the accepted version across the mesh. */
export async function showStatus(store: Store, nodes: readonly NodeClient[]): Promise<CommandResult> {
    const { current, view } = await readStatus(store, nodes);
    return { exitCode: judgeStatus(current, view), data: view, lines: [...formatStatus(view), ...noteStore(current)] };
}

/** Every node that was heard of. */
export async function listNodes(store: Store, nodes: readonly NodeClient[]): Promise<CommandResult> {
    const { current, view } = await readStatus(store, nodes);
    const lines = [
        ...view.nodes.map(node => `${formatStanding(node)}; control ${node.controlAddress}`),
        ...view.dead.map(node => `${node}: declared dead and not replaced`),
        ...view.unanswered.map(({ address, reason }) => `No answer from ${address}: ${reason}`),
        ...noteStore(current),
    ];
    return { exitCode: judgeStatus(current, view), data: view, lines };
}

/** Origin of rules, and where they are in force. */
export async function explain(store: Store, nodes: readonly NodeClient[], query: string): Promise<CommandResult> {
    const outcome = await explainRules(store, query, accepted => gatherStatus(accepted, nodes));
    switch (outcome.kind) {
        case ExplainOutcomeKind.Explained:
            return { exitCode: ExitCode.Done, data: outcome, lines: outcome.explanations.flatMap(formatExplanation) };
        case ExplainOutcomeKind.NoSuchRule:
            return describeFailure(ExitCode.Refused, outcome.kind, `Version ${outcome.version} has no rule "${query}".`);
        case ExplainOutcomeKind.NothingAccepted:
            return describeFailure(ExitCode.Refused, outcome.kind, "No version was accepted yet.");
        case RecordOutcomeKind.Broken:
        case RecordOutcomeKind.Unavailable:
            return reportRecordFailure(outcome);
        default:
            return assertNever(outcome);
    }
}

/** Metrics of each node in the Prometheus text format. */
export async function showMetrics(nodes: readonly NodeClient[]): Promise<CommandResult> {
    const answers = await Promise.all(nodes.map(node => node.metrics()));
    const failed = answers.filter(answer => answer.kind === NodeAnswerKind.Unreachable);
    return {
        exitCode: failed.length === 0 ? ExitCode.Done : ExitCode.Refused,
        data: { kind: "metrics", answers },
        lines: answers.flatMap(answer => answer.kind === NodeAnswerKind.Answered
            ? [`# node ${answer.address}`, answer.report.trimEnd()]
            : [describeSilence(answer)]),
    };
}

/** Asks one node to stop gracefully. `target` is a control address, a node or a host. */
export async function drainNode(
    nodes: readonly NodeClient[],
    target: string,
    connectNode: (address: string) => NodeClient,
): Promise<CommandResult> {
    const address = target.includes(":") ? target : await findControlAddress(nodes, target);
    if (address === undefined) {
        return describeFailure(ExitCode.Refused, "no such node", `No node that answered knows a running node "${target}".`);
    }
    const answer = await connectNode(address).drain();
    return answer.kind === NodeAnswerKind.Answered
        ? { exitCode: ExitCode.Done, data: answer, lines: [`${answer.report.node}: ${answer.report.state}`] }
        : { exitCode: ExitCode.Refused, data: answer, lines: [describeSilence(answer)] };
}

/** Adds the result of waiting to the result of an update. */
export function reportWait(update: CommandResult, version: number, outcome: WaitOutcome): CommandResult {
    const endings: Readonly<Record<WaitOutcomeKind, string>> = {
        [WaitOutcomeKind.InForce]: `Version ${version} or a later one is in force on every node heard from.`,
        [WaitOutcomeKind.Refused]: `Version ${version} is refused by nodes; every other node heard from has it.`,
        [WaitOutcomeKind.TimedOut]: `Version ${version} was not in force on every node within the wait.`,
        [WaitOutcomeKind.Interrupted]: `Interrupted. Version ${version} stays accepted; this is what is known:`,
    };
    return {
        exitCode: outcome.kind === WaitOutcomeKind.InForce ? ExitCode.Done : ExitCode.NotInForce,
        data: { update: update.data, wait: outcome },
        lines: [...update.lines, endings[outcome.kind], ...formatStatus(outcome.view)],
    };
}

async function readStatus(
    store: Store,
    nodes: readonly NodeClient[],
): Promise<{ readonly current: RecordOutcome; readonly view: StatusView }> {
    const current = await readCurrent(store);
    const accepted = current.kind === RecordOutcomeKind.Found ? current.snapshot : undefined;
    const head = accepted === undefined ? undefined : { version: accepted.version, digest: accepted.digest };
    return { current, view: await gatherStatus(head, nodes) };
}

/** The view is shown in any case; the code tells scripts that a part of it is missing. */
function judgeStatus(current: RecordOutcome, view: StatusView): ExitCode {
    if (current.kind === RecordOutcomeKind.Unavailable) {
        return ExitCode.StoreUnavailable;
    }
    return current.kind === RecordOutcomeKind.Broken || view.answeredBy.length === 0 ? ExitCode.Refused : ExitCode.Done;
}

function noteStore(current: RecordOutcome): readonly string[] {
    switch (current.kind) {
        case RecordOutcomeKind.Found:
            return [];
        case RecordOutcomeKind.Absent:
            return ["The store holds no accepted version."];
        default:
            return reportRecordFailure(current).lines;
    }
}

async function findControlAddress(nodes: readonly NodeClient[], name: string): Promise<string | undefined> {
    const view = await gatherStatus(undefined, nodes);
    return view.nodes.find(node => node.node === name || node.host === name)?.controlAddress;
}

function describeSilence(answer: Extract<NodeAnswer<unknown>, { kind: NodeAnswerKind.Unreachable }>): string {
    return `No answer from ${answer.address}: ${answer.reason}`;
}
