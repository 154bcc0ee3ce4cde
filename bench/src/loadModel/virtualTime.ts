/**
 * Virtual time of the load model: events in the order of their times, and of their scheduling if those are equal.
 */
import { ManualClock, type Milliseconds } from "@bilberrycroft/core.clock";

interface ScheduledEvent {
    readonly at: Milliseconds;
    readonly order: number;
    readonly run: () => void;
}

export class VirtualTime {
    readonly clock = new ManualClock();
    /** Binary heap with the earliest event first. */
    private readonly heap: ScheduledEvent[] = [];
    private scheduledCount = 0;

    schedule(at: Milliseconds, run: () => void): void {
        const event = { at: Math.max(at, this.clock.now()), order: this.scheduledCount++, run };
        let index = this.heap.length;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            const other = this.heap[parent] as ScheduledEvent;
            if (!precedes(event, other)) {
                break;
            }
            this.heap[index] = other;
            index = parent;
        }
        this.heap[index] = event;
    }

    later(delayMs: Milliseconds, run: () => void): void {
        this.schedule(this.clock.now() + delayMs, run);
    }

    /** Runs all events, also those that are scheduled meanwhile. */
    run(): void {
        for (let event = this.takeEarliest(); event !== undefined; event = this.takeEarliest()) {
            this.clock.advance(event.at - this.clock.now());
            event.run();
        }
    }

    private takeEarliest(): ScheduledEvent | undefined {
        const earliest = this.heap[0];
        const last = this.heap.pop();
        if (earliest === undefined || last === undefined || this.heap.length === 0) {
            return earliest;
        }
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            if (child >= this.heap.length) {
                break;
            }
            const sibling = this.heap[child + 1];
            if (sibling !== undefined && precedes(sibling, this.heap[child] as ScheduledEvent)) {
                child++;
            }
            const earlier = this.heap[child] as ScheduledEvent;
            if (!precedes(earlier, last)) {
                break;
            }
            this.heap[index] = earlier;
            index = child;
        }
        this.heap[index] = last;
        return earliest;
    }
}

function precedes(one: ScheduledEvent, other: ScheduledEvent): boolean {
    return one.at < other.at || (one.at === other.at && one.order < other.order);
}
