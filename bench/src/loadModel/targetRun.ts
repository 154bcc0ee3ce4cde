/**
 * A run of a call in a target of the load model: half of its own work, its inner calls, and the other half. It holds
 * its slot all the while.
 */
import { RunResult } from "@bilberrycroft/coordination.forwarding";
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { type CallEnd, CallEndKind, type ModelCall, type ModelCallContext } from "./modelCall";
import type { ModelNode } from "./modelNode";
import { type CallClass, InnerCallOrder } from "./scenario";

export interface TargetRunOptions {
    readonly context: ModelCallContext;
    readonly target: ModelNode;
    readonly callClass: CallClass;
    readonly className: string;
    readonly deadlineAt: Milliseconds;
    readonly priority: number;
    /** Whether the call may run or have run elsewhere, so that its inner calls are repeats. */
    readonly isRepeat: boolean;
    /** Called when the run makes an inner call. */
    handleInnerCall(): void;
    handleInnerCallEnd(isRefused: boolean): void;
    handleEnd(result: RunResult, busyMs: Milliseconds): void;
}

export class TargetRun {
    private readonly startedAt: Milliseconds;
    private readonly innerCalls = new Set<ModelCall>();
    private isEnded = false;

    constructor(private readonly options: TargetRunOptions) {
        this.startedAt = options.context.now();
    }

    get hasEnded(): boolean {
        return this.isEnded;
    }

    start(): void {
        const { context, target, className, callClass } = this.options;
        const ownMs = context.drawRunMs(className) * target.slowness;
        const hasFailed = context.nextFraction() < target.failureShare;
        const groups = callClass.innerCalls.flatMap(({ class: inner, count, order }) => {
            const calls = Array.from({ length: count }, () => inner);
            return order === InnerCallOrder.Together ? [calls] : calls.map(call => [call]);
        });
        context.later(ownMs / 2, () => this.callNextGroup(groups, () =>
            context.later(ownMs / 2, () => this.end(hasFailed ? RunResult.Failed : RunResult.Answered))));
    }

    /** Ends the run without a result, as its connection has closed; returns the time for which it held its slot. */
    cancel(): Milliseconds {
        this.isEnded = true;
        this.innerCalls.forEach(call => call.disconnect());
        return this.options.context.now() - this.startedAt;
    }

    private callNextGroup([group, ...others]: readonly (readonly string[])[], whenDone: () => void): void {
        if (this.isEnded) {
            return;
        }
        if (group === undefined) {
            whenDone();
            return;
        }
        let missing = group.length;
        group.forEach(inner => this.callInner(inner, end => {
            if (this.isEnded) {
                return;
            }
            if (end.kind !== CallEndKind.Answered) {
                this.end(RunResult.Failed);
            }
            else if (--missing === 0) {
                this.callNextGroup(others, whenDone);
            }
        }));
    }

    private callInner(className: string, handleEnd: (end: CallEnd) => void): void {
        const { context, target, deadlineAt, priority, isRepeat } = this.options;
        const { deadlineMs } = context.classes[className] as CallClass;
        const call = context.startCall({
            className,
            node: target,
            deadlineAt: Math.min(deadlineAt, context.now() + deadlineMs),
            priority,
            isInner: true,
            isFromRepeat: isRepeat,
            handleEnd: end => {
                this.innerCalls.delete(call);
                this.options.handleInnerCallEnd(end.kind === CallEndKind.Refused);
                handleEnd(end);
            },
        });
        this.innerCalls.add(call);
        this.options.handleInnerCall();
        call.start();
    }

    private end(result: RunResult): void {
        if (this.isEnded) {
            return;
        }
        this.isEnded = true;
        this.innerCalls.forEach(call => call.disconnect());
        const { context, handleEnd } = this.options;
        handleEnd(result, context.now() - this.startedAt);
    }
}
