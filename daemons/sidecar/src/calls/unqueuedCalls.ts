/**
 * Ends the running calls that the target has probably never queued, and keeps those that must not be repeated until
 * they end by themselves.
 */
import { type QueueEvent, RunResult, type TargetQueue } from "@bilberrycroft/coordination.forwarding";
import type { FaultBarrier } from "@bilberrycroft/core.eventLog";
import type { TargetCall } from "./targetCall";

export interface UnqueuedCallsOptions {
    readonly queue: TargetQueue;
    readonly faults: FaultBarrier;
    applyQueueEvents(events: readonly QueueEvent[]): void;
}

export class UnqueuedCalls {
    /** Running calls by the key of their offer. */
    private readonly running = new Map<string, TargetCall>();
    /** Calls in progress that have left the queue because the target has probably never queued them. */
    private readonly unqueued = new Map<string, TargetCall>();
    private isCheckScheduled = false;

    constructor(private readonly options: UnqueuedCallsOptions) {}

    /** Number of calls that have left the queue and are still in progress. */
    get size(): number {
        return this.unqueued.size;
    }

    add(key: string, call: TargetCall): void {
        this.running.set(key, call);
    }

    remove(key: string): void {
        this.running.delete(key);
    }

    /**
     * Looks for calls that the target has probably never queued; those of which a byte has arrived go on. This happens
     * in a turn of its own, after the responses that have arrived meanwhile are read.
     */
    check(): void {
        if (this.isCheckScheduled || this.running.size === 0) {
            return;
        }
        this.isCheckScheduled = true;
        setImmediate(() => {
            this.isCheckScheduled = false;
            this.options.faults.run("unanswered-calls", {}, () => this.endUnanswered());
        });
    }

    /** Handles the end of a call that had left the queue; returns `false` for any other. */
    handleFinished(key: string, result: RunResult): boolean {
        const call = this.unqueued.get(key);
        if (call === undefined) {
            return false;
        }
        this.unqueued.delete(key);
        if (result === RunResult.Answered || result === RunResult.Failed) {
            this.options.applyQueueEvents(this.options.queue.retractUnqueued(call.route, call.ageMs));
        }
        return true;
    }

    private endUnanswered(): void {
        const { queue, applyQueueEvents } = this.options;
        for (const key of queue.findUnanswered(callId => this.running.get(callId)?.hasProgress === true)) {
            const call = this.running.get(key);
            if (call === undefined) {
                continue;
            }
            this.unqueued.set(key, call);
            call.handleUnqueued();
            applyQueueEvents(queue.finish(key, RunResult.Unqueued));
        }
    }
}
