/**
 * Virtual time for tests with real sockets. Timers run on a virtual scheduler, and socket I/O runs between its steps.
 */
import { setImmediate } from "node:timers/promises";
import { VirtualTimeScheduler } from "rxjs";

/** Advances virtual time by `ms` and runs the timers that become due. */
export function advance(scheduler: VirtualTimeScheduler, ms: number): void {
    scheduler.maxFrames = scheduler.frame + ms;
    scheduler.flush();
    scheduler.frame = scheduler.maxFrames;
}

/** Polls a condition until it holds. It has no timeout of its own; that of the test applies. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await setImmediate();
    }
}
