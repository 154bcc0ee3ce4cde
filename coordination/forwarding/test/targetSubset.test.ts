import { TargetDirectory } from "@bilberrycroft/coordination.forwarding";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { type NodeEntry, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import { describe, expect, it } from "vitest";
import { repeatableRoute as route } from "./fixtures";

const zones = ["v", "w", "x", "y", "z"];
const targetCount = 94;
const callerCount = 194;
const callsPerCaller = 100;
/** Stated in docs/platform.md: peers that a node calls in a service, while all are healthy. */
const subsetSize = 12;

const createEntries = (count: number): NodeEntry[] => Array.from({ length: count }, (_, index) => ({
    node: `node-${index}`,
    zone: zones[index % zones.length] as string,
    address: `node-${index}:1`,
    processors: 1,
    target: { id: `t-${index}`, service: "s", slots: 3, phase: TargetPhase.Ready, startedAt: 1, coldUntil: 0 },
    crashes: [],
}));

const createDirectory = (caller: number, count = targetCount): TargetDirectory => {
    const clock = new ManualClock();
    const zone = zones[caller % zones.length] as string;
    const directory = new TargetDirectory({ clock, random: createSeededRandom(caller), node: `caller-${caller}`, zone });
    directory.setEntries(createEntries(count));
    return directory;
};

/** Nodes chosen for calls that all stay in progress, so that each call makes its target less attractive. */
const chooseInProgress = (directory: TargetDirectory, calls: number): string[] => {
    const chosen: string[] = [];
    for (let call = 0; call < calls; call++) {
        const node = directory.choose({ service: "s", route, exclude: new Set(), responseBytes: 1_000 })?.node ?? "";
        directory.recordOffer(node, String(call));
        chosen.push(node);
    }
    return chosen;
};

describe("subsets of the targets of a large service", () => {
    it("bound the nodes that a caller's node calls, and use several zones under load", () => {
        const chosen = new Set(chooseInProgress(createDirectory(0), callsPerCaller));
        expect(chosen.size).toBe(subsetSize);
        const zonesUsed = new Set([...chosen].map(node => Number(node.slice("node-".length)) % zones.length));
        expect(zonesUsed.size).toBeGreaterThan(1);
    });

    it("contain all targets of a small service", () => {
        expect(new Set(chooseInProgress(createDirectory(0, subsetSize), callsPerCaller)).size).toBe(subsetSize);
    });

    it("replace targets that do not respond, and those that a call has tried", () => {
        const directory = createDirectory(3);
        const before = new Set(chooseInProgress(directory, callsPerCaller));
        before.forEach(node => directory.markUnhealthy(node));
        const after = new Set(chooseInProgress(directory, callsPerCaller));
        expect(after.size).toBe(subsetSize);
        expect([...after].filter(node => before.has(node))).toEqual([]);
        const tried = new Set([...before, ...after]);
        const next = directory.choose({ service: "s", route, exclude: tried, responseBytes: 1_000 });
        expect(next === undefined || tried.has(next.node)).toBe(false);
    });

    it("use all targets of the service alike, over all callers", () => {
        const calls = new Map<string, number>();
        for (let caller = 0; caller < callerCount; caller++) {
            for (const node of chooseInProgress(createDirectory(caller), subsetSize)) {
                calls.set(node, (calls.get(node) ?? 0) + 1);
            }
        }
        const mean = callerCount * subsetSize / targetCount;
        expect(calls.size).toBe(targetCount);
        expect(Math.max(...calls.values()) / mean).toBeLessThan(2);
    });
});
