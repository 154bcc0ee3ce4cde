/**
 * Executes non-repeatable calls at most once: claims the idempotency key in the platform store before the call is sent,
 * and records the outcome afterwards.
 */
import type { ServerResponse } from "node:http";
import {
    type ClaimDecision,
    type ClaimedCallResult,
    ClaimedCallResultKind,
    type ClaimCoordinator,
    type ClaimOutput,
    ClaimOutputKind,
    type AttemptOutcome,
    AttemptOutcomeKind,
    recordResponse,
    replayResponse,
    type ResponseHeader,
    type TargetResponse,
} from "@bilberrycroft/coordination.idempotency";
import type { Clock, Milliseconds } from "@bilberrycroft/core.clock";
import { assertNever } from "@bilberrycroft/core.errors";
import { CallHeader, CallOutcome, CallReason } from "@bilberrycroft/protocol.calls";
import type { ClaimReply } from "@bilberrycroft/protocol.control";
import type { Store } from "@bilberrycroft/protocol.store";
import type { AcceptedCall, CallResult } from "./callExecution";
import { createResponseHeaders, sendLocalResponse } from "./responses";

const minTickMs: Milliseconds = 1;

export interface ClaimsOptions {
    readonly coordinator: ClaimCoordinator;
    readonly clock: Clock;
    readonly store: Store;
    /** Requests the outcome of another node's attempt; `undefined` if the node has failed or does not respond. */
    requestAttemptOutcome(
        node: string,
        claim: { readonly key: string; readonly attempt: string },
    ): Promise<AttemptOutcome | undefined>;
}

type FinalDecision = Exclude<ClaimDecision, { kind: ClaimOutputKind.AskOwner }>;

export class Claims {
    private readonly pendingDecisions = new Map<string, (decision: FinalDecision) => void>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: ClaimsOptions) {}

    /** Calls `execute` if this node wins the claim on the key; otherwise sends the recorded response or a refusal. */
    async executeOnce(
        call: AcceptedCall,
        response: ServerResponse,
        execute: () => Promise<CallResult>,
    ): Promise<CallResult> {
        const decision = await this.claim(call);
        switch (decision.kind) {
            case ClaimOutputKind.Proceed: {
                const result = await execute();
                this.perform(this.options.coordinator.handleCallCompletion({
                    attempt: decision.attempt,
                    result: toClaimedResult(result),
                }));
                return result;
            }
            case ClaimOutputKind.Replay:
                return sendReplay(decision.response, call, response);
            case ClaimOutputKind.Refuse:
                return sendRefusal(decision, call, response);
            default:
                return assertNever(decision);
        }
    }

    /** Outcome of an attempt that this node claimed, for another node that received the same key. */
    getLocalOutcome(claim: { readonly key: string; readonly attempt: string }): ClaimReply {
        const outcome = this.options.coordinator.getAttemptOutcome(claim);
        if (outcome.kind !== AttemptOutcomeKind.Ran) {
            return { kind: outcome.kind };
        }
        const recorded = recordResponse(outcome.response);
        return recorded === undefined
            ? { kind: AttemptOutcomeKind.RanNotKept }
            : { kind: AttemptOutcomeKind.Ran, response: recorded };
    }

    /** Number of call outcomes that are not recorded in the store yet. */
    get pendingOutcomes(): number {
        return this.options.coordinator.countPendingOutcomes();
    }

    stop(): void {
        clearTimeout(this.timer);
    }

    private claim(call: AcceptedCall): Promise<FinalDecision> {
        const { callId, deadlineAt } = call.submitted;
        return new Promise(resolve => {
            this.pendingDecisions.set(callId, resolve);
            this.perform(this.options.coordinator.begin({
                callId,
                key: call.head.idempotencyKey,
                fingerprint: call.fingerprint,
                deadlineAt,
            }));
        });
    }

    private perform(outputs: readonly ClaimOutput[]): void {
        for (const output of outputs) {
            switch (output.kind) {
                case ClaimOutputKind.ReadShard:
                    void this.readShard(output);
                    break;
                case ClaimOutputKind.WriteShard:
                    void this.writeShard(output);
                    break;
                case ClaimOutputKind.AskOwner:
                    void this.requestOwnerOutcome(output);
                    break;
                case ClaimOutputKind.Proceed:
                case ClaimOutputKind.Replay:
                case ClaimOutputKind.Refuse:
                    this.pendingDecisions.get(output.callId)?.(output);
                    this.pendingDecisions.delete(output.callId);
                    break;
                default:
                    assertNever(output);
            }
        }
        this.scheduleTick();
    }

    /** Schedules a tick only while the coordinator waits for one; a fixed interval would use CPU on an idle node. */
    private scheduleTick(): void {
        clearTimeout(this.timer);
        const { coordinator, clock } = this.options;
        const at = coordinator.nextTickAt();
        if (at !== undefined) {
            const waitMs = Math.max(minTickMs, at - clock.now());
            this.timer = setTimeout(() => this.perform(coordinator.tick()), waitMs);
        }
    }

    private async readShard(output: Extract<ClaimOutput, { kind: ClaimOutputKind.ReadShard }>): Promise<void> {
        const outcome = await this.options.store.read(output.key);
        this.perform(this.options.coordinator.handleReadCompletion({ request: output.request, outcome }));
    }

    private async writeShard(output: Extract<ClaimOutput, { kind: ClaimOutputKind.WriteShard }>): Promise<void> {
        const outcome = await this.options.store.write(output.key, output.value, output.condition);
        this.perform(this.options.coordinator.handleWriteCompletion({ request: output.request, outcome }));
    }

    private async requestOwnerOutcome(output: Extract<ClaimOutput, { kind: ClaimOutputKind.AskOwner }>): Promise<void> {
        const { key, attempt, callId } = output;
        const outcome = await this.options.requestAttemptOutcome(output.node, { key, attempt });
        this.perform(this.options.coordinator.handleOwnerReply({ callId, attempt, outcome }));
    }
}

/** Converts the reply of another node. */
export function toAttemptOutcome(reply: ClaimReply): AttemptOutcome {
    return reply.kind === AttemptOutcomeKind.Ran
        ? { kind: AttemptOutcomeKind.Ran, response: replayResponse(reply.response) }
        : { kind: reply.kind };
}

/** A streamed response is not buffered, so the call is recorded as run without its response. */
function toClaimedResult(result: CallResult): ClaimedCallResult {
    switch (result.outcome) {
        case CallOutcome.NotRun:
            return { kind: ClaimedCallResultKind.NotRun };
        case CallOutcome.Unknown:
            return { kind: ClaimedCallResultKind.ResponseLost };
        case CallOutcome.Done:
            return result.response === undefined
                ? { kind: ClaimedCallResultKind.ResponseLost }
                : { kind: ClaimedCallResultKind.Responded, response: toTargetResponse(result.response) };
        default:
            return assertNever(result.outcome);
    }
}

function toTargetResponse(response: NonNullable<CallResult["response"]>): TargetResponse {
    const headers: ResponseHeader[] = [];
    for (const [name, value] of Object.entries(response.headers)) {
        for (const item of Array.isArray(value) ? value : [value ?? ""]) {
            headers.push({ name, value: item });
        }
    }
    return { status: response.status, headers, body: response.body };
}

function sendReplay(recorded: TargetResponse, call: AcceptedCall, response: ServerResponse): CallResult {
    const recordedHeaders: Record<string, string[]> = {};
    for (const { name, value } of recorded.headers) {
        (recordedHeaders[name] ??= []).push(value);
    }
    const headers = createResponseHeaders(recordedHeaders as never, call.version);
    headers[CallHeader.Replayed] = "1";
    response.writeHead(recorded.status, headers);
    response.end(recorded.body);
    return { outcome: CallOutcome.Done, reason: undefined, target: undefined, response: undefined };
}

function sendRefusal(
    decision: Extract<ClaimDecision, { kind: ClaimOutputKind.Refuse }>,
    call: AcceptedCall,
    response: ServerResponse,
): CallResult {
    const { outcome, reason, retryAfterMs } = decision;
    sendLocalResponse(response, {
        outcome: outcome === CallOutcome.NotRun ? CallOutcome.NotRun : CallOutcome.Unknown,
        reason: reason ?? CallReason.ClaimedElsewhere,
        retryAfterMs,
        version: call.version,
    });
    return { outcome, reason, target: undefined, response: undefined };
}
