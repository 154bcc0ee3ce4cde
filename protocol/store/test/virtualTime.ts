/**
 * Virtual time of tests with real sockets: timers run on a virtual scheduler, socket work runs between its steps.
 */
import { setImmediate } from "node:timers/promises";
import { VirtualTimeScheduler } from "rxjs";

/** Runs virtual timers up to `ms` from now. */
export function advance(scheduler: VirtualTimeScheduler, ms: number): void {
    scheduler.maxFrames = scheduler.frame + ms;
    scheduler.flush();
    scheduler.frame = scheduler.maxFrames;
}

/** Waits for a condition without a bound of its own; the test's timeout applies. */
export async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await setImmediate();
    }
}
