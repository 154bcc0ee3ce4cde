import { type RelayNode, SourceSelection, stateIntervalMs } from "@bilberrycroft/coordination.relay";
import { ManualClock } from "@bilberrycroft/core.clock";
import { beforeEach, describe, expect, it } from "vitest";

const createNode = (name: string, zone = "z1", processors = 1): RelayNode =>
    ({ node: name, zone, address: `${name}:1`, processors });
const names = (nodes: readonly RelayNode[]): string[] => nodes.map(({ node }) => node);

/** Nodes of one zone that hear each other's states at once. */
class Zone {
    readonly selections = new Map<string, SourceSelection>();
    readonly withoutStore = new Set<string>();
    readonly dead = new Set<string>();

    constructor(private readonly clock: ManualClock, nodes: readonly RelayNode[]) {
        for (const { node, zone } of nodes) {
            const selection = new SourceSelection({ clock, node, zone });
            selection.setNodes(nodes);
            this.selections.set(node, selection);
        }
    }

    readers(): string[] {
        return [...this.selections].filter(([name, selection]) => !this.dead.has(name) && selection.decide().readsStore)
            .map(([name]) => name).sort();
    }

    /** Lets time pass in which every node tells its followers its state. */
    settle(rounds = 12): void {
        for (let round = 0; round < rounds; round++) {
            const readers = new Set(this.readers());
            for (const [name, selection] of this.selections) {
                for (const { node } of this.dead.has(name) ? [] : selection.decide().follows) {
                    if (!this.dead.has(node)) {
                        selection.stateHeard(node, readers.has(node) && !this.withoutStore.has(node));
                    }
                }
            }
            this.clock.advance(stateIntervalMs);
        }
    }
}

describe("SourceSelection", () => {
    let clock: ManualClock;
    const nodes = Array.from({ length: 20 }, (_, index) => createNode(`n${index}`));

    beforeEach(() => {
        clock = new ManualClock();
    });

    describe("in one zone", () => {
        it("lets two nodes read and all others follow them", () => {
            const zone = new Zone(clock, nodes);
            zone.settle();
            const readers = zone.readers();
            expect(readers).toHaveLength(2);
            for (const [name, selection] of zone.selections) {
                const others = readers.filter(reader => reader !== name);
                expect(names(selection.decide().follows).sort()).toEqual(others);
            }
        });

        it("prefers nodes with more processors", () => {
            const zone = new Zone(clock, [...nodes, createNode("big-1", "z1", 2), createNode("big-2", "z1", 2)]);
            zone.settle();
            expect(zone.readers()).toEqual(["big-1", "big-2"]);
        });

        it("replaces readers that die and those that the store does not reach", () => {
            const zone = new Zone(clock, nodes);
            zone.settle();
            const [first = "", second = ""] = zone.readers();
            zone.dead.add(first);
            zone.withoutStore.add(second);
            zone.settle();
            const readers = zone.readers();
            expect(readers).not.toContain(first);
            // It goes on trying, beside two that the store answers.
            expect(readers).toContain(second);
            expect(readers).toHaveLength(3);
        });

        it("lets every node read while the store reaches none of those that are followed", () => {
            const zone = new Zone(clock, nodes);
            nodes.forEach(({ node }) => zone.withoutStore.add(node));
            zone.settle();
            expect(zone.readers()).toHaveLength(nodes.length);
            const substitutes = [...zone.selections.values()].filter(selection => selection.decide().isSubstitute);
            // The first four, in which readers are looked for, try in their own right.
            expect(substitutes).toHaveLength(nodes.length - 4);
        });

        it("takes a node that goes silent for lost, and tries it again", () => {
            const selection = new SourceSelection({ clock, node: "late", zone: "z1" });
            selection.setNodes([createNode("early")]);
            selection.decide();
            selection.stateHeard("early", true);
            expect(selection.decide().readsStore).toBe(false);
            clock.advance(3 * stateIntervalMs);
            expect(selection.decide()).toEqual({ readsStore: true, isSubstitute: false, follows: [] });
            clock.advance(4 * stateIntervalMs);
            expect(names(selection.decide().follows)).toEqual(["early"]);
        });

        it("reads while it knows nobody", () => {
            const selection = new SourceSelection({ clock, node: "alone", zone: "z1" });
            expect(selection.decide()).toEqual({ readsStore: true, isSubstitute: false, follows: [] });
        });
    });

    describe("between zones", () => {
        it("lets readers follow one node of each other zone, and others none", () => {
            const all = [...nodes, createNode("far-1", "z2"), createNode("far-2", "z2"), createNode("else-1", "z3")];
            const zone = new Zone(clock, all);
            zone.settle();
            const inZone = zone.readers().filter(name => name.startsWith("n"));
            for (const [name, selection] of zone.selections) {
                const { follows } = selection.decide();
                const foreign = new Set(follows.map(node => node.zone).filter(other => other !== "z1"));
                if (name.startsWith("n")) {
                    expect([...foreign].sort()).toEqual(inZone.includes(name) ? ["z2", "z3"] : []);
                }
            }
        });
    });
});
