import { describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import {
    Draining,
    type DrainingInput,
    DrainingInputKind as In,
    type DrainingOutput,
    DrainingOutputKind as Out,
    DrainingState,
} from "@bilberrycroft/coordination.draining";

const announcementInputs: readonly DrainingInput[] = [{ kind: In.LeaseHandedOver }, { kind: In.PeersNotified }];

class Stop {
    readonly clock = new ManualClock();
    readonly draining = new Draining({ clock: this.clock });
    readonly log: { readonly at: number; readonly output: DrainingOutput }[] = [];

    receive(...messages: readonly DrainingInput[]): this {
        messages.forEach(message => this.record(this.draining.handle(message)));
        return this;
    }

    run(ms: number): this {
        for (let passed = 0; passed < ms; passed += 100) {
            this.clock.advance(100);
            this.record(this.draining.tick());
        }
        return this;
    }

    timesOf(kind: Out): readonly number[] {
        return this.log.filter(entry => entry.output.kind === kind).map(entry => entry.at);
    }

    private record(outputs: readonly DrainingOutput[]): void {
        outputs.forEach(output => this.log.push({ at: this.clock.now(), output }));
    }
}

describe("draining", () => {
    describe("announcement", () => {
        it("keeps the listener open until the announcement has reached all nodes, so that no connection is refused", () => {
            const stop = new Stop().receive({ kind: In.StopRequested }, ...announcementInputs).run(2_900);
            expect(stop.draining.state).toBe(DrainingState.Draining);
            const kinds = stop.log.map(entry => entry.output.kind);
            expect(kinds).toEqual([Out.AnnounceDraining, Out.HandOverLease, Out.NotifyPeers]);
            expect(stop.run(100).timesOf(Out.StopListening)).toEqual([3_000]);
        });

        // The missing inputs are `LeaseHandedOver` and `PeersNotified`; peers themselves send no acknowledgement.
        it.each([
            ["the store", [{ kind: In.PeersNotified }]],
            ["peers", [{ kind: In.LeaseHandedOver }]],
            ["the store and peers", []],
        ] as const)("waits at most 5 s for %s, so that a missing acknowledgement cannot block a stop", (_silent, messages) => {
            const stop = new Stop().receive({ kind: In.StopRequested }, ...messages).run(20_000);
            expect(stop.timesOf(Out.StopListening)).toEqual([5_000]);
        });

        it("ignores a second request, which would announce the stop again and restart the timeouts", () => {
            const stop = new Stop().receive({ kind: In.StopRequested }).run(4_000);
            stop.receive({ kind: In.StopRequested }).run(1_000);
            expect(stop.timesOf(Out.AnnounceDraining)).toEqual([0]);
            expect(stop.timesOf(Out.StopListening)).toEqual([5_000]);
        });
    });

    describe("calls in flight", () => {
        it("exits only after the last call has ended and the listener is closed, so that no call is aborted", () => {
            const stop = new Stop().receive({ kind: In.CallsInFlight, calls: 1 }, { kind: In.StopRequested });
            stop.receive(...announcementInputs).run(120_000).receive({ kind: In.CallsInFlight, calls: 0 });
            expect(stop.timesOf(Out.Exit)).toEqual([]);
            stop.receive({ kind: In.CallsInFlight, calls: 1 }, { kind: In.ListenerClosed });
            expect(stop.timesOf(Out.Exit)).toEqual([]);
            expect(stop.receive({ kind: In.CallsInFlight, calls: 0 }).timesOf(Out.Exit)).toEqual([120_000]);
            expect(stop.run(60_000).timesOf(Out.Exit)).toHaveLength(1);
        });

        it("does not exit while it is serving, even with no calls in flight", () => {
            const stop = new Stop().receive({ kind: In.CallsInFlight, calls: 0 }, ...announcementInputs).run(60_000);
            expect(stop.log).toEqual([]);
        });
    });

    describe("reports", () => {
        it("list what a stop is waiting for every 5 s after the first 30 s, so that a hanging stop can be diagnosed", () => {
            const stop = new Stop().receive({ kind: In.CallsInFlight, calls: 2 }, { kind: In.StopRequested });
            stop.receive({ kind: In.PeersNotified }).run(41_000);
            expect(stop.timesOf(Out.ReportWaiting)).toEqual([30_000, 35_000, 40_000]);
            expect(stop.log.at(-1)?.output).toEqual(
                { kind: Out.ReportWaiting, elapsedMs: 40_000, calls: 2, lease: true, peers: false, listener: true },
            );
        });
    });
});
