/**
 * Plays the load of the overview and checks both bounds in every window; the targets are stated in
 * `docs/design/quotas.md`.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import type { QuotaLimit } from "@bilberrycroft/protocol.forwarding";
import { describe, expect, it } from "vitest";
import {
    admitByOneBucket,
    admitByParts,
    computeUpperBound,
    countFullestWindow,
    createOrganisations,
    limitSpreadMs,
    type PlayedCalls,
    type PlayedNode,
    type PlayedOrganisation,
    QuotaPlay,
    type Surge,
} from "./quotaPlay";

const seeds = [1, 2, 3];
const surgeFrom: Milliseconds = 5_000;
const faultAt: Milliseconds = 6_000;
const cutMs: Milliseconds = 5_000;

interface Case {
    readonly seed: number;
    readonly nodes?: number;
    readonly zones?: number;
    readonly callsPerSecond?: number;
    readonly surge?: Surge;
    readonly durationMs?: Milliseconds;
    /** Limits the callers to a range of nodes. */
    readonly rangeAt?: PlayedOrganisation["rangeAt"];
    readonly prepare?: (play: QuotaPlay, accountingNode: PlayedNode) => void;
}

interface Measured {
    readonly play: QuotaPlay;
    readonly organisations: readonly PlayedOrganisation[];
    /** Fullest window of any organisation, as a share of its bound. */
    readonly fullest: number;
    /** Calls of the organisation that one bucket admits and the nodes refused. */
    lostOf(index: number): number;
    admittedByOneBucket(index: number): number;
    readonly lost: number;
    /** Calls that one bucket for each organisation admits. */
    readonly total: number;
    readonly framesPerSecond: number;
    readonly framesOfBusiestNode: number;
}

function play(options: Case): Measured {
    const { seed, nodes = 72, zones = 6, callsPerSecond = 1_950, surge, durationMs = 16_000, rangeAt } = options;
    const organisations = createOrganisations(callsPerSecond, surge)
        .map(organisation => rangeAt === undefined ? organisation : { ...organisation, rangeAt });
    const played = new QuotaPlay({ seed, nodes, zones, organisations, durationMs });
    options.prepare?.(played, played.findAccountingNode(`org-${surge?.index ?? 0}`));
    played.run();
    const callsOf = (index: number): PlayedCalls => played.calls.get(`org-${index}`) as PlayedCalls;
    const limitOf = (index: number): QuotaLimit => organisations[index]?.limit as QuotaLimit;
    const admittedByOneBucket = (index: number): number =>
        admitByOneBucket(callsOf(index).arrivals, limitOf(index)).length;
    const lostOf = (index: number): number =>
        Math.max(0, admittedByOneBucket(index) - callsOf(index).admitted.length);
    const indexes = organisations.map((_, index) => index);
    return {
        play: played,
        organisations,
        fullest: Math.max(...indexes.map(index =>
            countFullestWindow(callsOf(index).admitted) / computeUpperBound(limitOf(index)))),
        lostOf,
        admittedByOneBucket,
        lost: indexes.reduce((sum, index) => sum + lostOf(index), 0),
        total: indexes.reduce((sum, index) => sum + admittedByOneBucket(index), 0),
        framesPerSecond: played.frames / durationMs * 1_000,
        framesOfBusiestNode: Math.max(...played.framesTo.values()) / durationMs * 1_000,
    };
}

describe("quotas of 78 organisations", () => {
    describe.each(seeds)("with seed %i", seed => {
        it.each([[72, 6, 1_100], [72, 6, 1_950], [670, 10, 1_950]])(
            "on %i calm nodes refuse at most one call in 1,000 below the limit",
            (nodes, zones, callsPerSecond) => {
                const measured = play({ seed, nodes, zones, callsPerSecond, durationMs: nodes > 72 ? 8_000 : 16_000 });
                expect(measured.fullest).toBeLessThanOrEqual(1);
                expect(measured.lost).toBeLessThanOrEqual(measured.total / 1_000);
                // Two frames for each call would be one exact grant for each.
                expect(measured.framesPerSecond).toBeLessThan(1.5 * callsPerSecond);
            },
        );

        // Organisation 40 has about 6 calls a second, 77 about 3.
        it.each([0, 5, 40, 77])("let organisation %i at 7.5 times its load have what one bucket admits", index => {
            const measured = play({ seed, surge: { index, from: surgeFrom } });
            expect(measured.fullest).toBeLessThanOrEqual(1);
            expect(measured.lostOf(index)).toBeLessThanOrEqual(measured.admittedByOneBucket(index) / 100);
            // Of about 3,400 calls a second of the largest organisation during its surge.
            expect(measured.framesOfBusiestNode).toBeLessThan(800);
        });

        it("follow callers that move from zone to zone", () => {
            const measured = play({ seed, rangeAt: at => {
                const zone = Math.floor(at / 3_000) % 6;
                return [12 * zone, 12 * zone + 12];
            } });
            expect(measured.fullest).toBeLessThanOrEqual(1);
            expect(measured.lost).toBeLessThanOrEqual(measured.total / 1_000);
        });

        const faults: readonly (readonly [string, (play: QuotaPlay, node: PlayedNode) => void])[] = [
            ["killed", (played, node) => played.at(faultAt, () => played.kill(node))],
            ["frozen for 3 s", (played, node) => played.at(faultAt, () => played.freeze(node, 3_000))],
            ["restarted after 0.3 s", (played, node) => {
                played.at(faultAt, () => played.kill(node));
                played.at(faultAt + 300, () => played.restart(node));
            }],
            ["restarted with all others", (played, _) => {
                played.at(faultAt, () => played.nodes.forEach(node => played.kill(node)));
                played.at(faultAt + 300, () => played.nodes.forEach(node => played.restart(node)));
            }],
        ];

        describe.each(faults)("whose accounting node is %s", (name, prepare) => {
            it.each([0, 5, 40])("lose at most the calls of 2 s of organisation %i, at 7.5 times its load", index => {
                const measured = play({ seed, surge: { index, from: surgeFrom }, prepare });
                expect(measured.fullest).toBeLessThanOrEqual(1);
                const { callsPerSecond } = (measured.organisations[index] as PlayedOrganisation).limit;
                expect(measured.lostOf(index)).toBeLessThanOrEqual(2 * callsPerSecond);
            });
        });

        it.each([[0, true], [0, false], [5, true], [40, false]])(
            "stay within the bound while a zone is cut off for 5 s, organisation %i, zone of the accounting node %s",
            (index, isZoneOfAccountingNode) => {
                const measured = play({ seed, surge: { index, from: surgeFrom }, prepare: (played, node) => {
                    const other = node.zone === "zone-0" ? "zone-1" : "zone-0";
                    played.at(faultAt, () => played.cut(isZoneOfAccountingNode ? node.zone : other));
                    played.at(faultAt + cutMs, () => played.cut(undefined));
                } });
                expect(measured.fullest).toBeLessThanOrEqual(1);
                // Of all organisations, the calls of 2 s of the zone that is cut off.
                expect(measured.lost).toBeLessThanOrEqual(2 * 1_950 / 6);
            },
        );

        it("bind a lowered limit from the moment at which all nodes have it, and use a raised one", () => {
            const lowered = { callsPerSecond: 60, burst: 30 };
            const measured = play({ seed, prepare: played => {
                played.at(faultAt, () => played.changeLimit("org-1", lowered));
                played.at(faultAt + cutMs, () => played.changeLimit("org-1", createOrganisations(1_950)[1]?.limit as QuotaLimit));
            } });
            const { admitted, arrivals } = measured.play.calls.get("org-1") as PlayedCalls;
            const during = admitted.filter(at => at < faultAt + cutMs);
            expect(countFullestWindow(during, faultAt + limitSpreadMs)).toBeLessThanOrEqual(computeUpperBound(lowered));
            const raisedFrom = faultAt + cutMs + 1_500;
            expect(admitted.filter(at => at > raisedFrom).length)
                .toBeGreaterThanOrEqual(0.99 * arrivals.filter(at => at > raisedFrom).length);
        });
    });

    it("are served better than by equal parts at the callers' or at the targets' nodes", () => {
        const measured = play({ seed: 1 });
        const countLost = (parts: number, partOf: (index: number, nodes: readonly number[]) => number): number =>
            measured.organisations.reduce((sum, { name, limit }, organisation) => {
                const { arrivals, arrivalNodes } = measured.play.calls.get(name) as PlayedCalls;
                const admitted = admitByParts(arrivals, limit, parts, index => partOf(index, arrivalNodes));
                return sum + Math.max(0, measured.admittedByOneBucket(organisation) - admitted.length);
            }, 0);
        const lostByCallers = countLost(72, (index, nodes) => nodes[index] as number);
        // A service of 12 targets; the multiplier spreads the calls without a pattern.
        const lostByTargets = countLost(12, index => ((index * 2_654_435_761) >>> 7) % 12);
        expect(measured.lost).toBeLessThan(lostByTargets);
        expect(lostByTargets).toBeLessThan(lostByCallers);
    });
});
