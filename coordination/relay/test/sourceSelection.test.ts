import { type RelayNode, SourceSelection, stateIntervalMs } from "@bilberrycroft/coordination.relay";
import { ManualClock } from "@bilberrycroft/core.clock";
import { beforeEach, describe, expect, it } from "vitest";

const createNode = (name: string, zone = "z1", processors = 1): RelayNode =>
    ({ node: name, zone, address: `${name}:1`, processors });
const names = (nodes: readonly RelayNode[]): string[] => nodes.map(({ node }) => node);

/** Simulates nodes that receive each other's state without delay. */
class SimulatedNodes {
    readonly selections = new Map<string, SourceSelection>();
    readonly withoutStore = new Set<string>();
    readonly failed = new Set<string>();

    constructor(private readonly clock: ManualClock, nodes: readonly RelayNode[]) {
        for (const { node, zone } of nodes) {
            const selection = new SourceSelection({ clock, node, zone });
            selection.setNodes(nodes);
            this.selections.set(node, selection);
        }
    }

    readers(): string[] {
        return [...this.selections]
            .filter(([name, selection]) => !this.failed.has(name) && selection.decide().readsStore)
            .map(([name]) => name).sort();
    }

    /** Simulates rounds in which every node sends its state to its followers. */
    settle(rounds = 12): void {
        for (let round = 0; round < rounds; round++) {
            const readers = new Set(this.readers());
            for (const [name, selection] of this.selections) {
                for (const { node } of this.failed.has(name) ? [] : selection.decide().follows) {
                    if (!this.failed.has(node)) {
                        selection.recordState(node, readers.has(node) && !this.withoutStore.has(node));
                    }
                }
            }
            this.clock.advance(stateIntervalMs);
        }
    }
}

const aloneRole = { readsStore: true, isSubstitute: false, isStaggered: false, follows: [] };

describe("SourceSelection", () => {
    let clock: ManualClock;
    const nodes = Array.from({ length: 20 }, (_, index) => createNode(`n${index}`));

    beforeEach(() => {
        clock = new ManualClock();
    });

    describe("the first two of all readers", () => {
        const zones = ["z1", "z2", "z3"];
        const spread = zones.flatMap(zone => Array.from({ length: 4 }, (_, index) => createNode(`${zone}-${index}`, zone)));

        const listPositions = (simulated: SimulatedNodes): number[] => simulated.readers()
            .filter(name => !simulated.withoutStore.has(name))
            .map(name => simulated.selections.get(name)?.countReadersBefore() ?? -1).sort();

        it("are one node each, also in one zone; guards against several nodes that act", () => {
            for (const all of [nodes, spread]) {
                const simulated = new SimulatedNodes(clock, all);
                simulated.settle();
                expect(listPositions(simulated).slice(0, 3).filter(position => position < 2)).toEqual([0, 1]);
            }
        });

        it("are replaced when the first fails or cannot reach the store", () => {
            const simulated = new SimulatedNodes(clock, spread);
            simulated.settle();
            const findFirst = (): string => simulated.readers()
                .filter(name => !simulated.withoutStore.has(name))
                .find(name => simulated.selections.get(name)?.countReadersBefore() === 0) ?? "";
            const first = findFirst();
            simulated.failed.add(first);
            simulated.settle();
            const second = findFirst();
            expect(second).not.toBe(first);
            simulated.withoutStore.add(second);
            simulated.settle();
            expect([first, second, ""]).not.toContain(findFirst());
            expect(listPositions(simulated).filter(position => position === 0)).toHaveLength(1);
        });
    });

    describe("in one zone", () => {
        it("selects two readers that all other nodes follow", () => {
            const simulated = new SimulatedNodes(clock, nodes);
            simulated.settle();
            const readers = simulated.readers();
            expect(readers).toHaveLength(2);
            for (const [name, selection] of simulated.selections) {
                const others = readers.filter(reader => reader !== name);
                expect(names(selection.decide().follows).sort()).toEqual(others);
            }
        });

        it("staggers the watches of one of the two readers of a zone", () => {
            const simulated = new SimulatedNodes(clock, nodes);
            simulated.settle();
            const readers = simulated.readers();
            const staggered = readers.filter(reader => simulated.selections.get(reader)?.decide().isStaggered);
            expect(staggered).toHaveLength(readers.length / 2);
        });

        it("prefers nodes with more processors", () => {
            const simulated = new SimulatedNodes(clock, [...nodes, createNode("big-1", "z1", 2), createNode("big-2", "z1", 2)]);
            simulated.settle();
            expect(simulated.readers()).toEqual(["big-1", "big-2"]);
        });

        it("replaces readers that fail and readers that cannot reach the store", () => {
            const simulated = new SimulatedNodes(clock, nodes);
            simulated.settle();
            const [first = "", second = ""] = simulated.readers();
            simulated.failed.add(first);
            simulated.withoutStore.add(second);
            simulated.settle();
            const readers = simulated.readers();
            expect(readers).not.toContain(first);
            // The node that cannot reach the store keeps trying, in addition to two readers that reach it.
            expect(readers).toContain(second);
            expect(readers).toHaveLength(3);
        });

        it("lets every node read the store while none of the followed nodes can reach it", () => {
            const simulated = new SimulatedNodes(clock, nodes);
            nodes.forEach(({ node }) => simulated.withoutStore.add(node));
            simulated.settle();
            expect(simulated.readers()).toHaveLength(nodes.length);
            const substitutes = [...simulated.selections.values()].filter(selection => selection.decide().isSubstitute);
            // The first four nodes read because of their position in the order, not as substitutes.
            expect(substitutes).toHaveLength(nodes.length - 4);
        });

        it("treats a silent node as lost and tries it again", () => {
            const selection = new SourceSelection({ clock, node: "late", zone: "z1" });
            selection.setNodes([createNode("early")]);
            selection.decide();
            selection.recordState("early", true);
            expect(selection.decide().readsStore).toBe(false);
            clock.advance(3 * stateIntervalMs);
            expect(selection.decide()).toEqual(aloneRole);
            clock.advance(4 * stateIntervalMs);
            expect(names(selection.decide().follows)).toEqual(["early"]);
        });

        it("reads the store while it knows no other node", () => {
            const selection = new SourceSelection({ clock, node: "alone", zone: "z1" });
            expect(selection.decide()).toEqual(aloneRole);
        });
    });

    describe("between zones", () => {
        it("lets only readers follow one node of each other zone", () => {
            const all = [...nodes, createNode("far-1", "z2"), createNode("far-2", "z2"), createNode("else-1", "z3")];
            const simulated = new SimulatedNodes(clock, all);
            simulated.settle();
            const inZone = simulated.readers().filter(name => name.startsWith("n"));
            for (const [name, selection] of simulated.selections) {
                const { follows } = selection.decide();
                const foreign = new Set(follows.map(node => node.zone).filter(other => other !== "z1"));
                if (name.startsWith("n")) {
                    expect([...foreign].sort()).toEqual(inZone.includes(name) ? ["z2", "z3"] : []);
                }
            }
        });
    });
});
