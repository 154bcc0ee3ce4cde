/**
 * Logs changes of what limits the calls of the local target: the limit that it names, and its learned slots.
 */
import type { TargetQueue } from "@bilberrycroft/coordination.forwarding";
import type { LocalTarget } from "@bilberrycroft/coordination.registration";
import type { EventLog } from "@bilberrycroft/core.eventLog";

export interface TargetLimitLogOptions {
    readonly target: LocalTarget;
    readonly queue: TargetQueue;
    readonly log: EventLog;
}

export class TargetLimitLog {
    private lastCallsPerSecond: number | undefined;
    private lastLearnedSlots: number | undefined;

    constructor(private readonly options: TargetLimitLogOptions) {}

    /** Logs the limit that the target names, as told by `from`; `sent` is the number of calls sent to the target. */
    recordLimit(from: "target" | "peer", sent: number): void {
        const { target, queue, log } = this.options;
        const { callsPerSecond } = queue.limit;
        const previous = this.lastCallsPerSecond;
        if (callsPerSecond === undefined && previous === undefined) {
            return;
        }
        const { runningCalls: running, queuedCalls: queued } = queue;
        const fields = { target: target.announced?.id, callsPerSecond, sent, running, queued };
        if (callsPerSecond === previous) {
            log.sample("target-limited", fields);
        }
        else {
            this.lastCallsPerSecond = callsPerSecond;
            log.info("target-limit", { ...fields, previous, from });
        }
    }

    /** Logs the learned slots of a target that announces `slots`. */
    recordLearnedSlots(slots: number): void {
        const { target, queue, log } = this.options;
        const { learnedSlots } = queue;
        // Without a target there is nothing to learn; the first number of a target is that of its slots.
        const previous = this.lastLearnedSlots ?? slots;
        this.lastLearnedSlots = slots === 0 ? undefined : learnedSlots;
        if (slots > 0 && learnedSlots !== previous) {
            const { meanRunTimeMs } = queue.load("", 0);
            const { runningCalls: running, queuedCalls: queued } = queue;
            const fields = { target: target.announced?.id, slots, learnedSlots, previous, running, queued };
            log.info("target-slots-learned", { ...fields, meanRunTimeMs: Math.round(meanRunTimeMs) });
        }
    }
}
