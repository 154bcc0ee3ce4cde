import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { type CandidateRequest, TargetDirectory, type TargetDirectoryOptions } from "@bilberrycroft/coordination.forwarding";
import {
    type NodeEntry,
    TargetAvailability,
    TargetLimitKind,
    type TargetLoad,
    TargetPhase,
    TargetStanding,
} from "@bilberrycroft/protocol.forwarding";
import { beforeEach, describe, expect, it } from "vitest";
import { repeatableRoute as route } from "./fixtures";

const createEntry = (node: string, zone: string, phase = TargetPhase.Ready): NodeEntry => ({
    node,
    zone,
    address: `${node}:1`,
    processors: 1,
    target: { id: `t-${node}`, service: "s", slots: 4, phase, startedAt: 1, coldUntil: 0 },
    crashes: [],
});
const createLoad = (changes: Partial<TargetLoad> = {}): TargetLoad => ({
    availability: TargetAvailability.Serving,
    running: 0,
    queued: 0,
    slots: 4,
    runTimeMs: 50,
    sendMs: 0,
    meanRunTimeMs: 50,
    failureShare: 0,
    ...changes,
});

describe("TargetDirectory", () => {
    let clock: ManualClock;
    let options: TargetDirectoryOptions;
    let directory: TargetDirectory;
    const entries = [createEntry("a", "local"), createEntry("b", "local"), createEntry("c", "remote")];

    beforeEach(() => {
        clock = new ManualClock();
        options = { clock, random: createSeededRandom(9), node: "caller", zone: "local" };
        directory = new TargetDirectory(options);
        directory.setEntries(entries);
    });

    const choose = (changes: Partial<CandidateRequest> = {}): string | undefined =>
        directory.choose({ service: "s", route, exclude: new Set(), responseBytes: 1_000, ...changes })?.node;
    const chooseMany = (changes: Partial<CandidateRequest> = {}): ReadonlySet<string | undefined> =>
        new Set(Array.from({ length: 50 }, () => choose(changes)));

    describe("zones", () => {
        it("chooses targets of the local zone while they can respond in time", () => {
            expect(chooseMany()).toEqual(new Set(["a", "b"]));
        });

        it("uses another zone for small responses, but not for large ones, when the local targets are full", () => {
            for (const node of ["a", "b"]) {
                directory.recordLoad(node, createLoad({ running: 4, queued: 4 }));
            }
            expect(chooseMany()).toEqual(new Set(["c"]));
            expect(chooseMany({ responseBytes: 100_000 })).toEqual(new Set(["a", "b"]));
        });

        it("uses another zone for large responses too when they would be late in the local zone", () => {
            for (const node of ["a", "b"]) {
                directory.recordLoad(node, createLoad({ running: 4, queued: 40 }));
            }
            expect(chooseMany({ responseBytes: 100_000 })).toEqual(new Set(["c"]));
        });
    });

    describe("an explanation", () => {
        const request: CandidateRequest = { service: "s", route, priority: 1, exclude: new Set(), responseBytes: 1_000 };
        const standings = (): Record<string, TargetStanding> =>
            Object.fromEntries(directory.explain(request).targets.map(({ node, standing }) => [node, standing]));

        // Guards against an explanation that differs from the choice that calls get.
        it("names the target that calls are sent to, and the costs that it consists of", () => {
            directory.recordLoad("a", createLoad({ running: 4, queued: 8 }), "r");
            directory.recordLoad("b", createLoad({ running: 1 }), "r");
            clock.advance(20);
            const { chosen, retryAfterMs, targets } = directory.explain(request);
            expect([chosen, retryAfterMs]).toEqual(["b", undefined]);
            expect(chooseMany({ priority: 1 })).toEqual(new Set([chosen]));
            const ofA = targets.find(({ node }) => node === "a");
            expect(ofA).toMatchObject({ target: "t-a", zone: "local", slots: 4, reportAgeMs: 20 });
            expect(ofA?.costs.waitMs).toBeGreaterThan(50);
            for (const { costMs, costs: { linkMs, waitMs, runMs, failureMs, zoneMs } } of targets) {
                expect(costMs).toBeCloseTo(linkMs + waitMs + runMs + failureMs + zoneMs);
            }
            expect(targets.find(({ node }) => node === "c")?.costs.zoneMs).toBeGreaterThan(0);
        });

        it("says why a target gets no call, and when a call may return that none is asked for", () => {
            directory.setEntries([...entries, createEntry("d", "local", TargetPhase.Draining)]);
            directory.markUnhealthy("c");
            directory.recordRefusal("a", { priority: 1, retryAfterMs: 400 });
            expect(standings()).toEqual({
                a: TargetStanding.Overloaded,
                b: TargetStanding.Considered,
                c: TargetStanding.Unhealthy,
                d: TargetStanding.NotAccepting,
            });
            directory.recordRefusal("b", { priority: 1, retryAfterMs: 300 });
            expect(directory.explain(request)).toMatchObject({ chosen: undefined, retryAfterMs: 300 });
        });
    });

    describe("limits of targets", () => {
        const limited = (callsPerSecond: number): Partial<TargetLoad> =>
            ({ limit: { kind: TargetLimitKind.Limited, callsPerSecond } });

        it("count the calls that wait for a limited target, although its slots are free", () => {
            directory.recordLoad("a", createLoad({ running: 1, queued: 1, ...limited(5) }), "r");
            directory.recordLoad("b", createLoad({ running: 2 }), "r");
            expect(chooseMany()).toEqual(new Set(["b"]));
        });

        it("do not keep calls from the target for longer than a second, so that their end is noticed", () => {
            directory.recordLoad("a", createLoad(limited(1)), "r");
            directory.recordLoad("b", createLoad(), "r");
            expect(chooseMany()).toEqual(new Set(["b"]));
            clock.advance(1_000);
            directory.recordLoad("b", createLoad(), "r");
            expect(chooseMany()).toContain("a");
            expect(directory.callsPerSecondOf("a")).toBe(1);
        });

        it("are kept while the node beside the target does not know them after its restart", () => {
            directory.recordLoad("a", createLoad(limited(5)));
            directory.recordLoad("a", createLoad({ limit: { kind: TargetLimitKind.Unknown } }));
            expect(directory.callsPerSecondOf("a")).toBe(5);
            directory.recordLoad("a", createLoad());
            expect(directory.callsPerSecondOf("a")).toBeUndefined();
        });
    });

    describe("targets that differ", () => {
        beforeEach(() => {
            directory = new TargetDirectory({ ...options, learnsCapacity: true });
            directory.setEntries(entries);
        });

        it("get calls by the number that they handle well, which is forgotten as the report ages", () => {
            directory.recordLoad("a", createLoad({ running: 2, usableSlots: 2 }), "r");
            directory.recordLoad("b", createLoad({ running: 3 }), "r");
            expect(chooseMany()).toEqual(new Set(["b"]));
            clock.advance(20_000);
            expect(chooseMany().has("a")).toBe(true);
        });

        it("are known as slow also on a route of which they have run no call", () => {
            for (let report = 0; report < 20; report++) {
                directory.recordLoad("a", createLoad({ runTimeMs: 200 }), "other");
                directory.recordLoad("b", createLoad(), "other");
            }
            directory.recordLoad("b", createLoad(), "r");
            expect(chooseMany()).toEqual(new Set(["b"]));
        });

        // Guards against all nodes filling a target at once that has just started and looks empty to each of them.
        it("get neither all calls nor none when they have just started beside full ones", () => {
            const chosen: (string | undefined)[] = [];
            for (let caller = 0; caller < 20; caller++) {
                const other = new TargetDirectory({ ...options, random: createSeededRandom(caller), node: `c${caller}`, learnsCapacity: true });
                other.setEntries(["a", "b", "d", "new"].map(node => createEntry(node, "local")));
                for (const node of ["a", "b", "d"]) {
                    other.recordLoad(node, createLoad({ running: 4, queued: 2 }), "r");
                }
                for (let call = 0; call < 4; call++) {
                    const node = other.choose({ service: "s", route, exclude: new Set(), responseBytes: 1_000 })?.node ?? "";
                    other.recordOffer(node, `call-${call}`);
                    chosen.push(node);
                }
            }
            const share = chosen.filter(node => node === "new").length / chosen.length;
            expect(share).toBeGreaterThan(0.1);
            expect(share).toBeLessThan(0.3);
        });
    });

    describe("observations", () => {
        it("avoids a slow target and tries it again as the observation ages", () => {
            directory.recordLoad("a", createLoad({ runTimeMs: 400 }), "r");
            directory.recordLoad("b", createLoad(), "r");
            expect(chooseMany()).toEqual(new Set(["b"]));
            directory.recordLoad("b", createLoad({ running: 3 }), "r");
            clock.advance(20_000);
            expect(chooseMany().has("a")).toBe(true);
        });

        it("avoids a target that fails calls although it reports that it is serving", () => {
            directory.recordLoad("a", createLoad({ failureShare: 0.5 }), "r");
            directory.recordLoad("b", createLoad(), "r");
            expect(chooseMany()).toEqual(new Set(["b"]));
        });

        it("spreads calls by the number of calls that this node has in flight on each target", () => {
            for (let call = 0; call < 8; call++) {
                directory.recordOffer(choose() ?? "", `call-${call}`);
            }
            expect(chooseMany().has("c")).toBe(true);
        });
    });

    describe("node health", () => {
        it("excludes a node that did not respond until a probe succeeds", () => {
            expect(directory.markUnhealthy("a")).toBe(true);
            expect(directory.markUnhealthy("a")).toBe(false);
            expect(chooseMany()).toEqual(new Set(["b"]));
            expect(directory.nodesDueForProbe()).toEqual([]);
            clock.advance(250);
            expect(directory.nodesDueForProbe().map(({ node }) => node)).toEqual(["a"]);
            directory.recordLoad("a", createLoad());
            expect(chooseMany()).toEqual(new Set(["a", "b"]));
        });

        it("has nodes to probe only while one is unhealthy, and tells when that begins", () => {
            let unhealthyCount = 0;
            const options = { clock, random: createSeededRandom(9), node: "caller", zone: "local" };
            const observed = new TargetDirectory({ ...options, onUnhealthy: () => unhealthyCount++ });
            observed.setEntries([createEntry("a", "local"), createEntry("b", "local", TargetPhase.Draining)]);
            expect(observed.hasNodesToProbe()).toBe(false);
            observed.markUnhealthy("b");
            expect(observed.hasNodesToProbe()).toBe(false);
            observed.recordLoad("a", createLoad({ availability: TargetAvailability.Down }));
            expect(unhealthyCount).toBe(2);
            expect(observed.hasNodesToProbe()).toBe(true);
            observed.recordLoad("a", createLoad());
            expect(observed.hasNodesToProbe()).toBe(false);
        });

        it("excludes a target whose node reports it as down", () => {
            directory.recordLoad("a", createLoad({ availability: TargetAvailability.Down }));
            expect(chooseMany()).toEqual(new Set(["b"]));
        });

        it("uses unhealthy nodes when there are no others", () => {
            ["a", "b", "c"].forEach(node => directory.markUnhealthy(node));
            expect(choose()).toBeDefined();
        });

        it("neither chooses nor probes draining targets", () => {
            directory.markUnhealthy("a");
            directory.setEntries([createEntry("a", "local", TargetPhase.Draining), createEntry("b", "local")]);
            clock.advance(5_000);
            expect(chooseMany()).toEqual(new Set(["b"]));
            expect(directory.nodesDueForProbe()).toEqual([]);
        });

        it("never chooses a target again that told this node that it leaves, even if its entry is written anew", () => {
            directory.recordLoad("a", createLoad({ leavingTarget: { id: "t-a", startedAt: 1 } }));
            expect(chooseMany()).toEqual(new Set(["b"]));
            directory.setEntries([createEntry("b", "local")]);
            directory.setEntries([createEntry("a", "local"), createEntry("b", "local")]);
            expect(chooseMany()).toEqual(new Set(["b"]));
            expect(chooseMany({ exclude: new Set(["b"]) })).toEqual(new Set([undefined]));
        });

        it("chooses the next incarnation of a target that left", () => {
            directory.recordLoad("a", createLoad({ leavingTarget: { id: "t-a", startedAt: 1 } }));
            const entry = createEntry("a", "local");
            directory.setEntries([{ ...entry, target: { ...entry.target, startedAt: 2 } as NodeEntry["target"] }]);
            expect(chooseMany()).toEqual(new Set(["a"]));
        });

        it("discards the observations of a node's previous target", () => {
            directory.recordLoad("a", createLoad({ failureShare: 1 }), "r");
            const entry = createEntry("a", "local");
            directory.setEntries([
                { ...entry, target: { ...createEntry("new", "local").target, id: "t-new" } as NodeEntry["target"] },
                createEntry("b", "local"),
            ]);
            expect(chooseMany()).toEqual(new Set(["a", "b"]));
        });
    });
});
