import { TargetDirectory, VersionSide } from "@bilberrycroft/coordination.forwarding";
import { ManualClock } from "@bilberrycroft/core.clock";
import { createSeededRandom } from "@bilberrycroft/core.random";
import { type NodeEntry, RolloutPhase, type RolloutPlan, TargetPhase } from "@bilberrycroft/protocol.forwarding";
import { beforeEach, describe, expect, it } from "vitest";
import { repeatableRoute as route } from "./fixtures";

const createEntry = (node: string, version: string | undefined, phase = TargetPhase.Ready): NodeEntry => ({
    node,
    zone: "local",
    address: `${node}:1`,
    processors: 1,
    target: { id: `t-${node}`, service: "s", slots: 4, phase, startedAt: 1, coldUntil: 0, version },
    crashes: [],
});
const createPlan = (changes: Partial<RolloutPlan> = {}): RolloutPlan => ({
    service: "s",
    version: "v2",
    versionsBefore: ["v1"],
    orderRevision: 1,
    durationMs: 12_000,
    isWithdrawn: false,
    phase: RolloutPhase.Testing,
    share: 0.25,
    routeShares: [],
    elapsedMs: 0,
    writer: "n",
    ...changes,
});
const oldEntries = ["a", "b", "c"].map(node => createEntry(node, "v1"));
const newEntries = ["d", "e", "f"].map(node => createEntry(node, "v2"));

describe("targets of a service with versions", () => {
    let directory: TargetDirectory;

    const createDirectory = (usesVersions = true): TargetDirectory => new TargetDirectory({
        clock: new ManualClock(),
        random: createSeededRandom(9),
        node: "caller",
        zone: "local",
        usesVersions,
    });
    const choose = (side?: VersionSide, exclude: ReadonlySet<string> = new Set()): string | undefined =>
        directory.choose({ service: "s", route, exclude, responseBytes: 1_000, side })?.node;
    const chooseMany = (side?: VersionSide, exclude?: ReadonlySet<string>): ReadonlySet<string | undefined> =>
        new Set(Array.from({ length: 60 }, () => choose(side, exclude)));

    beforeEach(() => {
        directory = createDirectory();
        directory.setEntries(oldEntries);
        directory.setEntries([...oldEntries, ...newEntries]);
    });

    describe("without a plan", () => {
        it("do not include a version that appears without an order, as long as a known one is available", () => {
            expect(chooseMany()).toEqual(new Set(["a", "b", "c"]));
            directory.setEntries([createEntry("a", "v1", TargetPhase.Draining), ...newEntries]);
            expect(chooseMany()).toEqual(new Set(["d", "e", "f"]));
        });

        it("include targets that replace others of the same version, and those that are added", () => {
            directory.setEntries([createEntry("g", "v1"), createEntry("h", "v1")]);
            expect(chooseMany()).toEqual(new Set(["g", "h"]));
        });

        it("are all used where versions are ignored, and nothing is drawn", () => {
            directory = createDirectory(false);
            directory.setEntries(oldEntries);
            directory.setEntries([...oldEntries, ...newEntries]);
            directory.setRollouts([createPlan()]);
            expect(chooseMany().size).toBe(6);
            expect(directory.drawVersion("s", "r")).toBeUndefined();
        });
    });

    describe("with a plan", () => {
        it("are drawn by the share of the plan or of the route; guards against a larger exposure", () => {
            directory.setRollouts([createPlan({ routeShares: [{ route: "rare", share: 0.5 }] })]);
            const countNew = (name: string): number =>
                Array.from({ length: 4_000 }, () => directory.drawVersion("s", name))
                    .filter(side => side === VersionSide.After).length;
            expect(Math.abs(countNew("r") - 1_000)).toBeLessThan(100);
            expect(Math.abs(countNew("rare") - 2_000)).toBeLessThan(100);
            expect(directory.drawVersion("other", "r")).toBeUndefined();
        });

        it("are as many of the new version as have the load of the old ones", () => {
            directory.setRollouts([createPlan()]);
            expect(chooseMany(VersionSide.After).size).toBe(1);
            directory.setRollouts([createPlan({ share: 0.4 })]);
            expect(chooseMany(VersionSide.After).size).toBe(2);
            expect(chooseMany(VersionSide.Before)).toEqual(new Set(["a", "b", "c"]));
        });

        it("stay those of the draw for further offers, and a call to the old version never goes to the new one", () => {
            directory.setRollouts([createPlan({ share: 0.4 })]);
            const first = choose(VersionSide.After) ?? "";
            expect(newEntries.map(({ node }) => node)).toContain(choose(VersionSide.After, new Set([first])));
            expect(choose(VersionSide.Before, new Set(["a", "b", "c"]))).toBeUndefined();
            expect(["a", "b", "c"]).toContain(choose(VersionSide.After, new Set(["d", "e", "f"])));
        });

        it("replace a new target that does not respond", () => {
            directory.setRollouts([createPlan()]);
            const first = choose(VersionSide.After) ?? "";
            directory.markUnhealthy(first);
            expect(chooseMany(VersionSide.After)).not.toContain(first);
            expect(newEntries.map(({ node }) => node)).toContain(choose(VersionSide.After));
        });

        it.each([
            [RolloutPhase.Drained, 1, ["d", "e", "f"]],
            [RolloutPhase.Completed, 1, ["d", "e", "f"]],
            [RolloutPhase.RolledBack, 0, ["a", "b", "c"]],
        ])("are those of one version once it is %s, whatever the call was drawn to", (phase, share, expected) => {
            directory.setRollouts([createPlan({ phase, share })]);
            expect(chooseMany(VersionSide.Before)).toEqual(new Set(expected));
            expect(chooseMany(VersionSide.After)).toEqual(new Set(expected));
        });

        it("are known to a node that starts after the order", () => {
            directory = createDirectory();
            directory.setRollouts([createPlan({ phase: RolloutPhase.RolledBack, share: 0 })]);
            directory.setEntries([...oldEntries, ...newEntries, createEntry("g", "v3")]);
            expect(chooseMany()).toEqual(new Set(["a", "b", "c"]));
            expect(directory.knownVersionsOf("s")).toEqual(["v1"]);
        });
    });
});
