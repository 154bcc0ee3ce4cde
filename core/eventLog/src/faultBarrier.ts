/**
 * Confines an unexpected exception to the call, frame, entry or timer that causes it.
 *
 * A barrier stands at the edge of a task, where the task can end what it was doing truthfully. Exceptions outside any
 * barrier, at the start of a process above all, still end the process.
 */
import type { EventFields, EventLog } from "./index";

const maxStackLength = 2_000;

export class FaultBarrier {
    private confinedFaults = 0;

    constructor(private readonly log: EventLog) {}

    /** Number of exceptions confined since the start. */
    get count(): number {
        return this.confinedFaults;
    }

    /** Runs the action. If it throws, logs the exception and runs `recover`, which may throw as well. */
    run(scope: string, fields: EventFields, action: () => void, recover: () => void = () => undefined): void {
        try {
            action();
        }
        catch (error) {
            this.record(scope, fields, error);
            this.recover(scope, fields, recover);
        }
    }

    /** Like `run`, for an action that ends later; never rejects. */
    async runAsync(
        scope: string,
        fields: EventFields,
        action: () => Promise<void>,
        recover: () => void = () => undefined,
    ): Promise<void> {
        try {
            await action();
        }
        catch (error) {
            this.record(scope, fields, error);
            this.recover(scope, fields, recover);
        }
    }

    /** Logs and counts an exception that was caught elsewhere. */
    record(scope: string, fields: EventFields, error: unknown): void {
        this.confinedFaults++;
        const reason = (error as Error | undefined)?.stack ?? String(error);
        this.log.warn("fault-confined", { scope, ...fields, reason: reason.slice(0, maxStackLength) });
    }

    private recover(scope: string, fields: EventFields, recover: () => void): void {
        try {
            recover();
        }
        catch (error) {
            this.record(`${scope}-recovery`, fields, error);
        }
    }
}
