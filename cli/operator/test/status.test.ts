import { describe, expect, it } from "vitest";
import { ManualClock } from "@bilberrycroft/core.clock";
import { Liveness } from "@bilberrycroft/coordination.membership";
import { computeStatus, isInForceEverywhere, type NodeClient, waitForVersion, WaitOutcomeKind } from "../src/index";
import { formatStatus } from "../src/formatting";
import { answer, fakeNode, head, member, silence } from "./fakeNode";

const old = { version: 4, digest: "d4" };
const refusal = { ...head, line: 7, requester: "Aiko", reason: "bad" };

describe("computeStatus", () => {
    const cases = [
        {
            name: "counts a node that answers even if no table lists it",
            answers: [answer("a", [])],
            standings: { a: "in force" },
            inForce: "1 of 1",
            everywhere: true,
        },
        {
            name: "tells behind from refused",
            answers: [answer("a", [member("b", old), member("c", { ...old, refusal })])],
            standings: { a: "in force", b: "behind", c: "refused" },
            inForce: "1 of 3",
            everywhere: false,
        },
        {
            name: "ignores a refusal of another version",
            answers: [answer("a", [member("b", { ...old, refusal: { ...refusal, ...old } })])],
            standings: { a: "in force", b: "behind" },
            inForce: "1 of 2",
            everywhere: false,
        },
        {
            name: "does not count a node in an unreachable zone, even if it was last heard with the version",
            answers: [answer("a", [member("b", { zone: "west" }, true)])],
            standings: { a: "in force", b: "unknown" },
            inForce: "1 of 1",
            everywhere: true,
        },
        {
            name: "uses the answer of a node that reaches the zone",
            answers: [answer("a", [member("b", { zone: "west", ...old }, true)]), answer("c", [member("b", { zone: "west", revision: 2 })], { zone: "west" })],
            standings: { a: "in force", b: "in force", c: "in force" },
            inForce: "3 of 3",
            everywhere: true,
        },
        {
            name: "keeps the entry with the highest revision, whichever answer comes first",
            answers: [answer("a", [member("b", { revision: 3 })]), answer("c", [member("b", { revision: 2, ...old })])],
            standings: { a: "in force", b: "in force", c: "in force" },
            inForce: "3 of 3",
            everywhere: true,
        },
        {
            name: "takes the worse claim at equal revisions",
            answers: [answer("a", [member("b", { liveness: Liveness.Suspect })]), answer("c", [member("b")])],
            standings: { a: "in force", b: "unknown", c: "in force" },
            inForce: "2 of 2",
            everywhere: true,
        },
        {
            name: "believes a node that answers over a table that declares it dead",
            answers: [answer("a", []), answer("c", [member("a", { liveness: Liveness.Dead, ...old })])],
            standings: { a: "in force", c: "in force" },
            inForce: "2 of 2",
            everywhere: true,
        },
        {
            name: "leaves out nodes that left, died or were replaced on their host",
            answers: [answer("a", [member("b", { liveness: Liveness.Left }), member("c", { liveness: Liveness.Dead }), member("d", { host: "h", ...old }), member("e", { host: "h", incarnation: 2 })])],
            standings: { a: "in force", e: "in force" },
            inForce: "2 of 2",
            everywhere: true,
        },
        {
            name: "does not take another digest under the same version for the accepted one",
            answers: [answer("a", [member("b", { digest: "other" })])],
            standings: { a: "in force", b: "diverged" },
            inForce: "1 of 2",
            everywhere: false,
        },
        {
            name: "accepts a later version as having superseded the awaited one, without counting it",
            answers: [answer("a", [], { version: 6, digest: "d6" })],
            standings: { a: "newer" },
            inForce: "0 of 1",
            everywhere: true,
        },
        {
            name: "claims nothing when no node answers",
            answers: [silence("a:1")],
            standings: {},
            inForce: "0 of 0",
            everywhere: false,
        },
        {
            name: "claims nothing when every node heard of is unreachable",
            answers: [silence("a:1"), answer("b", [], old)],
            standings: { b: "behind" },
            inForce: "0 of 1",
            everywhere: false,
        },
    ];
    it.each(cases)("$name", ({ answers, standings, inForce, everywhere }) => {
        const view = computeStatus({ accepted: head, answers });
        expect(Object.fromEntries(view.nodes.map(({ node, standing }) => [node, standing]))).toEqual(standings);
        expect(`${view.inForceCount} of ${view.heardCount}`).toBe(inForce);
        expect(isInForceEverywhere(view)).toBe(everywhere);
    });

    it("names refusing lines, unknown zones, dead nodes and silent addresses in the text", () => {
        const west = member("c", { zone: "west", ...old }, true);
        const dead = member("d", { liveness: Liveness.Dead });
        const text = formatStatus(computeStatus({
            accepted: head,
            answers: [answer("a", [member("b", { ...old, refusal }), west, dead]), silence("e:1")],
        })).join("\n");
        expect(text).toContain("In force on 1 of 2 nodes heard from; 1 unknown");
        expect(text).toContain("b (east): refused at line 7, requested by Aiko: bad; version 4 in force");
        expect(text).toContain("c (west): unknown, zone west is unreachable; last heard with version 4");
        expect(text).toContain("Zone west: unknown");
        expect(text).toContain("Node d: declared dead");
        expect(text).toContain("No answer from e:1: refused");
    });

    it("says where the accepted version comes from when the store was not read", () => {
        const heardHead = { version: 9, digest: "d9" };
        const view = computeStatus({ accepted: undefined, answers: [answer("a", [], { heardHead })] });
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
        return waitForVersion({ head, nodes, clock, waitMs: 5_000, sleep, signal });
    }

    it("returns once every node heard from has the version", async () => {
        const outcome = await wait([fakeNode("a:1", silence("a:1"), answer("a", [], old), answer("a", []))]);
        expect(outcome).toMatchObject({ kind: WaitOutcomeKind.InForce, view: { inForceCount: 1 } });
    });

    it("ends at the deadline with the nodes that lack the version", async () => {
        const outcome = await wait([fakeNode("a:1", answer("a", [member("b", old)]))]);
        expect(outcome).toMatchObject({ kind: WaitOutcomeKind.TimedOut, view: { inForceCount: 1, heardCount: 2 } });
    });

    it("does not wait for nodes that refused, once every other node has the version", async () => {
        const outcome = await wait([fakeNode("a:1", answer("a", [member("b", { ...old, refusal })]))]);
        expect(outcome.kind).toBe(WaitOutcomeKind.Refused);
    });

    it("returns what is known when interrupted between two questions", async () => {
        const interrupt = new AbortController();
        const outcome = await wait([fakeNode("a:1", answer("a", [], old))], () => interrupt.abort(), interrupt.signal);
        expect(outcome).toMatchObject({ kind: WaitOutcomeKind.Interrupted, view: { nodes: [{ node: "a", version: 4 }] } });
    });

    it("returns at once when interrupted while a node does not answer", async () => {
        const interrupt = new AbortController();
        const hanging = { ...fakeNode("a:1"), status: () => new Promise<never>(() => interrupt.abort()) };
        expect((await wait([hanging], undefined, interrupt.signal)).kind).toBe(WaitOutcomeKind.Interrupted);
    });
});
