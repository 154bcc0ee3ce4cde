/**
 * Guards against accounting nodes that each begin with a part of the reserve, while responsibility changes many times
 * in one window: case 15 of the third review.
 */
import type { Milliseconds } from "@bilberrycroft/core.clock";
import { describe, expect, it } from "vitest";
import { hashNode, selectAccountingNode } from "@bilberrycroft/coordination.quotas";
import {
    admitByOneBucket,
    computeUpperBound,
    countFullestWindow,
    type PlayedCalls,
    type PlayedOrganisation,
    QuotaPlay,
    warmUpMs,
} from "./quotaPlay";

const seeds = [1, 2, 3, 4, 5];
const faultAt: Milliseconds = 6_300;
const surgeFrom: Milliseconds = 5_000;
const surgeMs: Milliseconds = 6_500;
const killedShare = 0.55;
const firstRestartMs: Milliseconds = 300;
const lastRestartMs: Milliseconds = 2_000;
const durationMs: Milliseconds = 14_000;

interface Herd {
    readonly nodes: number;
    readonly zones: number;
    /** Calls per second and burst of each organisation. */
    readonly rate: number;
    /** Surge of each organisation over its usual rate, which is 1 / 1.6 of the limit. */
    readonly factor: number;
}

const organisationCount = 12;
const candidateCount = 3_000;

/** Names of organisations whose accounting node changes most often while the victims are started in their order. */
function chooseNames(nodes: readonly string[], victims: readonly string[]): readonly string[] {
    const hashed = nodes.map(hashNode);
    const countChanges = (organisation: string): number => {
        const down = new Set(victims);
        const selectedAfter = victims.map(victim => {
            down.delete(victim);
            return selectAccountingNode(organisation, hashed, node => !down.has(node));
        });
        return selectedAfter.filter((selected, index) => index === 0 || selected !== selectedAfter[index - 1]).length;
    };
    return Array.from({ length: candidateCount }, (_, index) => `org-${index}`)
        .map(name => ({ name, changes: countChanges(name) }))
        .sort((left, right) => right.changes - left.changes)
        .slice(0, organisationCount)
        .map(({ name }) => name);
}

function createPressing(names: readonly string[], { rate, factor }: Herd): PlayedOrganisation[] {
    const usual = rate / 1.6;
    return names.map(name => ({
        name,
        rateAt: at => at < warmUpMs ? 0 : (at >= surgeFrom && at < surgeFrom + surgeMs ? factor : 1) * usual,
        maxRate: factor * usual,
        limit: { callsPerSecond: rate, burst: rate },
    }));
}

interface Played {
    /** Fullest window of any organisation, as a share of its bound. */
    readonly fullest: number;
    /** Calls that one bucket admits and the nodes refused, over all organisations. */
    readonly lost: number;
}

function playHerdKill(seed: number, herd: Herd): Played {
    const { nodes, zones } = herd;
    const names = Array.from({ length: nodes }, (_, index) => `node-${index}`);
    const victims = names.filter((_, index) => (index * 7 + seed) % nodes < Math.floor(killedShare * nodes));
    const organisations = createPressing(chooseNames(names, victims), herd);
    const play = new QuotaPlay({ seed, nodes, zones, organisations, durationMs });
    play.nodes.filter(({ name }) => victims.includes(name)).forEach((node, index) => {
        const restartMs = firstRestartMs + (lastRestartMs - firstRestartMs) * index / victims.length;
        play.at(faultAt, () => play.kill(node));
        play.at(faultAt + restartMs, () => play.restart(node));
    });
    play.run();
    const calls = organisations.map(({ name, limit }) => ({ limit, calls: play.calls.get(name) as PlayedCalls }));
    return {
        fullest: Math.max(...calls.map(({ limit, calls: { admitted } }) =>
            countFullestWindow(admitted) / computeUpperBound(limit))),
        lost: calls.reduce((sum, { limit, calls: { admitted, arrivals } }) =>
            sum + Math.max(0, admitByOneBucket(arrivals, limit).length - admitted.length), 0),
    };
}

describe("quotas of organisations while more than half of the nodes are killed and started one after the other", () => {
    const cases = [
        { nodes: 16, zones: 2, rate: 5, factor: 7.5 },
        { nodes: 16, zones: 2, rate: 2, factor: 7.5 },
        { nodes: 16, zones: 2, rate: 20, factor: 7.5 },
        { nodes: 16, zones: 2, rate: 5, factor: 1.6 },
        { nodes: 72, zones: 3, rate: 5, factor: 7.5 },
        { nodes: 72, zones: 3, rate: 20, factor: 7.5 },
    ];
    describe.each(cases)("$nodes nodes in $zones zones, $rate calls a second, asked for $factor times the usual", options => {
        it.each(seeds)("stay within the bound and lose at most the calls of 2 s, seed %i", seed => {
            const { fullest, lost } = playHerdKill(seed, options);
            expect(fullest).toBeLessThanOrEqual(1);
            expect(lost).toBeLessThanOrEqual(2 * options.rate * organisationCount);
        });
    });
});
