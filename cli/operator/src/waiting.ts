/**
 * Asks nodes for their status, once or until a version is in force.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { ConfigurationHead } from "@bilberrycroft/state.snapshots";
import type { NodeClient } from "./nodeClient";
import { computeStatus, isInForceEverywhere, Standing, type StatusView } from "./statusView";

/** Interval between two rounds of questions. */
const pollIntervalMs = 500;

/** Kinds of `WaitOutcome`. */
export enum WaitOutcomeKind {
    /** On every node heard from. */
    InForce = "in force",
    /** Nodes refused the version; every other node heard from has it. Waiting longer changes nothing. */
    Refused = "refused",
    TimedOut = "timed out",
    Interrupted = "interrupted",
}

/** Result of waiting, with the last known view. */
export interface WaitOutcome {
    readonly kind: WaitOutcomeKind;
    readonly view: StatusView;
}

/** What a wait needs. */
export interface WaitRequest {
    readonly head: ConfigurationHead;
    readonly nodes: readonly NodeClient[];
    readonly clock: Clock;
    readonly waitMs: Milliseconds;
    sleep(duration: Milliseconds): Promise<void>;
    /** Ends the wait early. */
    readonly signal: AbortSignal;
}

/** Asks all nodes at once. */
export async function gatherStatus(
    accepted: ConfigurationHead | undefined,
    nodes: readonly NodeClient[],
): Promise<StatusView> {
    return computeStatus({ accepted, answers: await Promise.all(nodes.map(node => node.status())) });
}

/** Waits until the version is in force on every node heard from. */
export async function waitForVersion(request: WaitRequest): Promise<WaitOutcome> {
    const { head, nodes, clock, signal } = request;
    const deadline = clock.now() + request.waitMs;
    const interrupted = whenAborted(signal);
    let view = computeStatus({ accepted: head, answers: [] });
    for (;;) {
        const next = await Promise.race([gatherStatus(head, nodes), interrupted]);
        if (next === undefined) {
            return { kind: WaitOutcomeKind.Interrupted, view };
        }
        view = next;
        const settled = judgeView(view);
        if (settled !== undefined) {
            return { kind: settled, view };
        }
        const remaining = deadline - clock.now();
        if (remaining <= 0) {
            return { kind: WaitOutcomeKind.TimedOut, view };
        }
        await Promise.race([request.sleep(Math.min(pollIntervalMs, remaining)), interrupted]);
        if (signal.aborted) {
            return { kind: WaitOutcomeKind.Interrupted, view };
        }
    }
}

function judgeView(view: StatusView): WaitOutcomeKind | undefined {
    if (isInForceEverywhere(view)) {
        return WaitOutcomeKind.InForce;
    }
    const refusing = view.nodes.filter(node => node.standing === Standing.Refused);
    const others = { ...view, nodes: view.nodes.filter(node => node.standing !== Standing.Refused) };
    return refusing.length > 0 && isInForceEverywhere(others) ? WaitOutcomeKind.Refused : undefined;
}

function whenAborted(signal: AbortSignal): Promise<undefined> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve(undefined);
        }
        signal.addEventListener("abort", () => resolve(undefined), { once: true });
    });
}
