/**
 * Carries calls that may not be repeated: claims their key in the platform store before they are sent, and records
 * their outcome afterwards.
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
import type { ClaimAnswer } from "@bilberrycroft/protocol.control";
import type { Store } from "@bilberrycroft/protocol.store";
import type { AcceptedCall, CallResult } from "./callExecution";
import { createAnswerHeaders, sendOwnResponse } from "./responses";

const shortestTickMs: Milliseconds = 1;

/** Options of `Claims`. */
export interface ClaimsOptions {
    readonly keeper: ClaimCoordinator;
    readonly clock: Clock;
    readonly store: Store;
    /** Asks another node about its attempt; `undefined` if the node is dead or does not answer. */
    askNode(
        node: string,
        claim: { readonly key: string; readonly attempt: string },
    ): Promise<AttemptOutcome | undefined>;
}

type FinalDecision = Exclude<ClaimDecision, { kind: ClaimOutputKind.AskOwner }>;

/** Owns the claims of a node. */
export class Claims {
    private readonly waiting = new Map<string, (decision: FinalDecision) => void>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: ClaimsOptions) {}

    /** Runs `execute` if this node won the claim for the call's key; otherwise responds with what is known. */
    async carryOnce(
        call: AcceptedCall,
        response: ServerResponse,
        execute: () => Promise<CallResult>,
    ): Promise<CallResult> {
        const decision = await this.claim(call);
        switch (decision.kind) {
            case ClaimOutputKind.Proceed: {
                const result = await execute();
                this.perform(this.options.keeper.handleCallEnd({
                    attempt: decision.attempt,
                    result: toClaimed(result),
                }));
                return result;
            }
            case ClaimOutputKind.Replay:
                return replay(decision.response, call, response);
            case ClaimOutputKind.Refuse:
                return refuse(decision, call, response);
            default:
                return assertNever(decision);
        }
    }

    /** What this node knows of an attempt that it claimed, for a node that got the same key. */
    ownedOutcome(claim: { readonly key: string; readonly attempt: string }): ClaimAnswer {
        const outcome = this.options.keeper.getAttemptOutcome(claim);
        if (outcome.kind !== AttemptOutcomeKind.Ran) {
            return { kind: outcome.kind };
        }
        const recorded = recordResponse(outcome.response);
        return recorded === undefined
            ? { kind: AttemptOutcomeKind.RanNotKept }
            : { kind: AttemptOutcomeKind.Ran, response: recorded };
    }

    /** Outcomes of calls that are not recorded in the store yet. */
    get unsettledOutcomes(): number {
        return this.options.keeper.countPendingOutcomes();
    }

    /** Ends the task's timer. */
    stop(): void {
        clearTimeout(this.timer);
    }

    private claim(call: AcceptedCall): Promise<FinalDecision> {
        const { callId, deadlineAt } = call.submitted;
        return new Promise(resolve => {
            this.waiting.set(callId, resolve);
            this.perform(this.options.keeper.begin({
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
                    void this.askOwner(output);
                    break;
                case ClaimOutputKind.Proceed:
                case ClaimOutputKind.Replay:
                case ClaimOutputKind.Refuse:
                    this.waiting.get(output.callId)?.(output);
                    this.waiting.delete(output.callId);
                    break;
                default:
                    assertNever(output);
            }
        }
        this.scheduleTick();
    }

    /** Wakes only when the keeper waits for time; a steady tick would cost an idle node processor time for control. */
    private scheduleTick(): void {
        clearTimeout(this.timer);
        const { keeper, clock } = this.options;
        const at = keeper.nextTickAt();
        if (at !== undefined) {
            const waitMs = Math.max(shortestTickMs, at - clock.now());
            this.timer = setTimeout(() => this.perform(keeper.tick()), waitMs);
        }
    }

    private async readShard(output: Extract<ClaimOutput, { kind: ClaimOutputKind.ReadShard }>): Promise<void> {
        const outcome = await this.options.store.read(output.key);
        this.perform(this.options.keeper.handleReadCompletion({ request: output.request, outcome }));
    }

    private async writeShard(output: Extract<ClaimOutput, { kind: ClaimOutputKind.WriteShard }>): Promise<void> {
        const outcome = await this.options.store.write(output.key, output.value, output.condition);
        this.perform(this.options.keeper.handleWriteCompletion({ request: output.request, outcome }));
    }

    private async askOwner(output: Extract<ClaimOutput, { kind: ClaimOutputKind.AskOwner }>): Promise<void> {
        const { key, attempt, callId } = output;
        const outcome = await this.options.askNode(output.node, { key, attempt });
        this.perform(this.options.keeper.handleOwnerReply({ callId, attempt, outcome }));
    }
}

/** Converts another node's answer. */
export function toOwnedOutcome(answer: ClaimAnswer): AttemptOutcome {
    return answer.kind === AttemptOutcomeKind.Ran
        ? { kind: AttemptOutcomeKind.Ran, response: replayResponse(answer.response) }
        : { kind: answer.kind };
}

/** An answer that was streamed is not at hand afterwards, so it is recorded as run without its response. */
function toClaimed(result: CallResult): ClaimedCallResult {
    switch (result.outcome) {
        case CallOutcome.NotRun:
            return { kind: ClaimedCallResultKind.NotRun };
        case CallOutcome.Unknown:
            return { kind: ClaimedCallResultKind.ResponseLost };
        case CallOutcome.Done:
            return result.answer === undefined
                ? { kind: ClaimedCallResultKind.ResponseLost }
                : { kind: ClaimedCallResultKind.Responded, response: toTargetResponse(result.answer) };
        default:
            return assertNever(result.outcome);
    }
}

function toTargetResponse(answer: NonNullable<CallResult["answer"]>): TargetResponse {
    const headers: ResponseHeader[] = [];
    for (const [name, value] of Object.entries(answer.headers)) {
        for (const item of Array.isArray(value) ? value : [value ?? ""]) {
            headers.push({ name, value: item });
        }
    }
    return { status: answer.status, headers, body: answer.body };
}

function replay(recorded: TargetResponse, call: AcceptedCall, response: ServerResponse): CallResult {
    const received: Record<string, string[]> = {};
    for (const { name, value } of recorded.headers) {
        (received[name] ??= []).push(value);
    }
    const headers = createAnswerHeaders(received as never, call.version);
    headers[CallHeader.Replayed] = "1";
    response.writeHead(recorded.status, headers);
    response.end(recorded.body);
    return { outcome: CallOutcome.Done, reason: undefined, target: undefined, answer: undefined };
}

function refuse(
    decision: Extract<ClaimDecision, { kind: ClaimOutputKind.Refuse }>,
    call: AcceptedCall,
    response: ServerResponse,
): CallResult {
    const { outcome, reason, retryAfterMs } = decision;
    sendOwnResponse(response, {
        outcome: outcome === CallOutcome.NotRun ? CallOutcome.NotRun : CallOutcome.Unknown,
        reason: reason ?? CallReason.ClaimedElsewhere,
        retryAfterMs,
        version: call.version,
    });
    return { outcome, reason, target: undefined, answer: undefined };
}
