/**
 * Queries nodes for their status, once or until a version is in force.
 */
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import type { ConfigurationHead } from "@bilberrycroft/state.snapshots";
import type { NodeClient } from "./nodeClient";
import { computeStatus, isInForceEverywhere, VersionState, type StatusView } from "./statusView";

const pollIntervalMs = 500;

export enum WaitOutcomeKind {
    /** The version or a newer one is in force on every node with known state. */
    InForce = "in force",
    /** Some nodes refused the version and every other node with known state has it. Waiting longer has no effect. */
    Refused = "refused",
    TimedOut = "timed out",
    Interrupted = "interrupted",
}

export interface WaitOutcome {
    readonly kind: WaitOutcomeKind;
    /** Last known view. */
    readonly view: StatusView;
}

export interface WaitRequest {
    /** Version to wait for. */
    readonly head: ConfigurationHead;
    readonly nodes: readonly NodeClient[];
    readonly clock: Clock;
    readonly waitMs: Milliseconds;
    sleep(duration: Milliseconds): Promise<void>;
    /** Ends the wait early. */
    readonly signal: AbortSignal;
}

/** Queries all nodes in parallel. */
export async function fetchStatus(
    accepted: ConfigurationHead | undefined,
    nodes: readonly NodeClient[],
): Promise<StatusView> {
    return computeStatus({ accepted, responses: await Promise.all(nodes.map(node => node.status())) });
}

/** Polls the nodes until the version is in force on every node with known state, or until the wait times out. */
export async function waitForVersion(request: WaitRequest): Promise<WaitOutcome> {
    const { head, nodes, clock, signal } = request;
    const deadline = clock.now() + request.waitMs;
    const interrupted = whenAborted(signal);
    let view = computeStatus({ accepted: head, responses: [] });
    for (;;) {
        const next = await Promise.race([fetchStatus(head, nodes), interrupted]);
        if (next === undefined) {
            return { kind: WaitOutcomeKind.Interrupted, view };
        }
        view = next;
        const outcomeKind = evaluateView(view);
        if (outcomeKind !== undefined) {
            return { kind: outcomeKind, view };
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

function evaluateView(view: StatusView): WaitOutcomeKind | undefined {
    if (isInForceEverywhere(view)) {
        return WaitOutcomeKind.InForce;
    }
    const refusingNodes = view.nodes.filter(node => node.standing === VersionState.Refused);
    const viewWithoutRefusals = { ...view, nodes: view.nodes.filter(node => node.standing !== VersionState.Refused) };
    return refusingNodes.length > 0 && isInForceEverywhere(viewWithoutRefusals) ? WaitOutcomeKind.Refused : undefined;
}

function whenAborted(signal: AbortSignal): Promise<undefined> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve(undefined);
        }
        signal.addEventListener("abort", () => resolve(undefined), { once: true });
    });
}
