import { describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import { Liveness } from "@bilberrycroft/coordination.membership";
import { computeStatus, isInForceEverywhere, type NodeClient, waitForVersion, WaitOutcomeKind } from "../src/index";
import { formatStatus } from "../src/formatting";
import { response, fakeNode, acceptedHead, member, unreachable } from "./fakeNode";

const old = { version: 4, digest: "d4" };
const refusal = { ...acceptedHead, line: 7, requester: "Aiko", reason: "bad" };

describe("computeStatus", () => {
    const cases = [
        {
            name: "counts a node that responds even if no membership table lists it",
            responses: [response("a", [])],
            states: { a: "in force" },
            inForce: "1 of 1",
            everywhere: true,
        },
        {
            name: "distinguishes behind from refused",
            responses: [response("a", [member("b", old), member("c", { ...old, refusal })])],
            states: { a: "in force", b: "behind", c: "refused" },
            inForce: "1 of 3",
            everywhere: false,
        },
        {
            name: "ignores a refusal of another version",
            responses: [response("a", [member("b", { ...old, refusal: { ...refusal, ...old } })])],
            states: { a: "in force", b: "behind" },
            inForce: "1 of 2",
            everywhere: false,
        },
        {
            name: "does not count a node in an unreachable zone, even if its last known version is the accepted one",
            responses: [response("a", [member("b", { zone: "west" }, true)])],
            states: { a: "in force", b: "unknown" },
            inForce: "1 of 1",
            everywhere: true,
        },
        {
            name: "uses the report of a node that reaches the zone",
            responses: [response("a", [member("b", { zone: "west", ...old }, true)]), response("c", [member("b", { zone: "west", revision: 2 })], { zone: "west" })],
            states: { a: "in force", b: "in force", c: "in force" },
            inForce: "3 of 3",
            everywhere: true,
        },
        {
            name: "keeps the entry with the highest revision, regardless of the order of responses",
            responses: [response("a", [member("b", { revision: 3 })]), response("c", [member("b", { revision: 2, ...old })])],
            states: { a: "in force", b: "in force", c: "in force" },
            inForce: "3 of 3",
            everywhere: true,
        },
        {
            name: "uses the worse liveness at equal revisions",
            responses: [response("a", [member("b", { liveness: Liveness.Suspect })]), response("c", [member("b")])],
            states: { a: "in force", b: "unknown", c: "in force" },
            inForce: "2 of 2",
            everywhere: true,
        },
        {
            name: "prefers the response of a node over a membership table that marks it as dead",
            responses: [response("a", []), response("c", [member("a", { liveness: Liveness.Dead, ...old })])],
            states: { a: "in force", c: "in force" },
            inForce: "2 of 2",
            everywhere: true,
        },
        {
            name: "omits nodes that left, are dead or were replaced on their host",
            responses: [response("a", [member("b", { liveness: Liveness.Left }), member("c", { liveness: Liveness.Dead }), member("d", { host: "h", ...old }), member("e", { host: "h", incarnation: 2 })])],
            states: { a: "in force", e: "in force" },
            inForce: "2 of 2",
            everywhere: true,
        },
        {
            name: "does not count another digest of the same version as the accepted one",
            responses: [response("a", [member("b", { digest: "other" })])],
            states: { a: "in force", b: "diverged" },
            inForce: "1 of 2",
            everywhere: false,
        },
        {
            name: "treats a newer version as superseding the awaited one, without counting it as in force",
            responses: [response("a", [], { version: 6, digest: "d6" })],
            states: { a: "newer" },
            inForce: "0 of 1",
            everywhere: true,
        },
        {
            name: "does not report the version as in force everywhere if no node responds",
            responses: [unreachable("a:1")],
            states: {},
            inForce: "0 of 0",
            everywhere: false,
        },
        {
            name: "does not report the version as in force everywhere if the only responding node is behind",
            responses: [unreachable("a:1"), response("b", [], old)],
            states: { b: "behind" },
            inForce: "0 of 1",
            everywhere: false,
        },
    ];
    it.each(cases)("$name", ({ responses, states, inForce, everywhere }) => {
        const view = computeStatus({ accepted: acceptedHead, responses });
        expect(Object.fromEntries(view.nodes.map(({ node, standing }) => [node, standing]))).toEqual(states);
        expect(`${view.inForceCount} of ${view.heardCount}`).toBe(inForce);
        expect(isInForceEverywhere(view)).toBe(everywhere);
    });

    it("lists refusing lines, unknown zones, dead nodes and unreachable addresses in the text", () => {
        const west = member("c", { zone: "west", ...old }, true);
        const dead = member("d", { liveness: Liveness.Dead });
        const text = formatStatus(computeStatus({
            accepted: acceptedHead,
            responses: [response("a", [member("b", { ...old, refusal }), west, dead]), unreachable("e:1")],
        })).join("\n");
        expect(text).toContain("In force on 1 of 2 nodes with known state; 1 unknown");
        expect(text).toContain("b (east): refused at line 7, requested by Aiko: bad; version 4 in force");
        expect(text).toContain("c (west): unknown, zone west is unreachable; last known version 4");
        expect(text).toContain("Zone west: unknown");
        expect(text).toContain("Node d: marked as dead");
        expect(text).toContain("No response from e:1: refused");
    });

    describe("of a fleet of hundreds of nodes", () => {
        const zones = ["east", "north", "west"];
        const nodesPerZone = 60;
        const members = zones.flatMap(zone => Array.from({ length: nodesPerZone }, (_, index) => {
            const state = zone === "north" && index < 30 ? old : {};
            return member(`${zone}-${index}`, { zone, ...state }, zone === "west");
        }));
        const lines = formatStatus(computeStatus({ accepted: acceptedHead, responses: [response("east-0", members)] }));

        it("is summed up by zone in the text, and names at most ten nodes of a zone in the same state", () => {
            expect(lines).toContain("Zone east: 60 of 60 nodes in force");
            expect(lines).toContain("Zone north: 30 of 60 nodes in force, 30 behind");
            expect(lines).toContain("Zone west: 0 of 60 nodes in force, 60 unknown");
            expect(lines.filter(line => /^north-\d+ \(north\): behind/.test(line))).toHaveLength(10);
            expect(lines).toContain("20 more nodes in zone north: behind; \"nodes\" lists all");
            expect(lines).toContain("50 more nodes in zone west: unknown; \"nodes\" lists all");
            expect(lines.length).toBeLessThan(40);
        });
    });

    it("reports the source of the accepted version if the store was not read", () => {
        const heardHead = { version: 9, digest: "d9" };
        const view = computeStatus({ accepted: undefined, responses: [response("a", [], { heardHead })] });
        expect(view).toMatchObject({ accepted: heardHead, acceptedFromStore: false, inForceCount: 0 });
        expect(formatStatus(view)[0]).toContain("the store was not read");
    });
});

describe("waitForVersion", () => {
    const uninterrupted = new AbortController().signal;

    function wait(nodes: readonly NodeClient[], onSleep: () => void = () => undefined, signal = uninterrupted) {
        const clock = new ManualClock();
        const sleep = async (duration: number): Promise<void> => {
            clock.advance(duration);
            onSleep();
        };
        return waitForVersion({ head: acceptedHead, nodes, clock, waitMs: 5_000, sleep, signal });
    }

    it("returns once every node with known state has the version", async () => {
        const outcome = await wait([fakeNode("a:1", unreachable("a:1"), response("a", [], old), response("a", []))]);
        expect(outcome).toMatchObject({ kind: WaitOutcomeKind.InForce, view: { inForceCount: 1 } });
    });

    it("returns at the deadline with the nodes that are behind", async () => {
        const outcome = await wait([fakeNode("a:1", response("a", [member("b", old)]))]);
        expect(outcome).toMatchObject({ kind: WaitOutcomeKind.TimedOut, view: { inForceCount: 1, heardCount: 2 } });
    });

    it("does not wait for nodes that refused once every other node has the version", async () => {
        const outcome = await wait([fakeNode("a:1", response("a", [member("b", { ...old, refusal })]))]);
        expect(outcome.kind).toBe(WaitOutcomeKind.Refused);
    });

    it("returns the last known view when interrupted between two polls", async () => {
        const interrupt = new AbortController();
        const outcome = await wait([fakeNode("a:1", response("a", [], old))], () => interrupt.abort(), interrupt.signal);
        expect(outcome).toMatchObject({ kind: WaitOutcomeKind.Interrupted, view: { nodes: [{ node: "a", version: 4 }] } });
    });

    it("returns immediately when interrupted while a node does not respond", async () => {
        const interrupt = new AbortController();
        const hanging = { ...fakeNode("a:1"), status: () => new Promise<never>(() => interrupt.abort()) };
        expect((await wait([hanging], undefined, interrupt.signal)).kind).toBe(WaitOutcomeKind.Interrupted);
    });
});
